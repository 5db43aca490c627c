//! Tests of orders to engines, with real nodes and stand-in engines in one process.
//!
//! Assertions use the engines' records: the received orders in sequence, and the loaded models.
//! Tests wait for conditions, with a generous timeout.

#![allow(clippy::unwrap_used)]

mod common;
mod deposed_leader;
mod placement;
