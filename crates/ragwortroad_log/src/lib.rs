//! Append-only log and snapshots on one data folder, durable once synced.
