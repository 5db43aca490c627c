//! Failures brought about on real nodes: QUIC, HTTP and data folders on loopback, in one process.
//!
//! What is judged is what callers, operators and endpoints wrote down. Nothing is decided by how
//! long something took; what must come about is waited for with a generous bound.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod bookings;
mod common;
mod endpoints;
mod members;
mod operators;
mod overload;
mod pairs;
