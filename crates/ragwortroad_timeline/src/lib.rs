//! Typed events, hybrid logical clock, and the time line over all processes.
