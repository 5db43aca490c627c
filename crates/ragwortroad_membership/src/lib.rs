//! Which nodes and endpoints exist: gossip, suspicion, homes.
