//! Tests of failures on real nodes in one process, with QUIC and HTTP on loopback and data folders.
//!
//! Assertions use the records of clients, operators and endpoints, never durations. Tests wait for
//! conditions with a generous timeout.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod bookings;
mod common;
mod crashes;
mod endpoints;
mod members;
mod operators;
mod overload;
mod pairs;
mod rests;
