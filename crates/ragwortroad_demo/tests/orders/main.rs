//! Orders to engines, over real nodes and stand-in engines in one process.
//!
//! Verdicts come from what the engines wrote down: the orders that came, in their order, and the
//! models they hold. Waits are for an event, with a generous bound.

#![allow(clippy::unwrap_used)]

mod common;
mod deposed_leader;
mod placement;
