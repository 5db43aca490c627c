use std::time::Instant;

use ragwortroad_types::prelude::*;

/// One order as a stand-in engine got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// The stand-in's name.
    pub endpoint: String,
    /// The order.
    pub order: OrderWire,
    /// Whether it was accepted, and not refused for its old fencing number.
    pub accepted: bool,
    /// When it came.
    pub received_at: Instant,
}
