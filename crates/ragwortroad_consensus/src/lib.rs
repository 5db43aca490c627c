//! Leader election and log replication as pure state.
