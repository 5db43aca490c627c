//! The decision bench: real decision code, small fakes, seeded workloads.
