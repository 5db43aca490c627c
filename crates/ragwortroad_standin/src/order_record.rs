use std::time::Instant;

use ragwortroad_types::prelude::*;

/// One order that a stand-in engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Name of the engine.
    pub endpoint: String,
    /// The order as received.
    pub order: OrderWire,
    /// Whether the engine accepted it; `false` if it refused an outdated fencing token.
    pub accepted: bool,
    /// Time of receipt.
    pub received_at: Instant,
}
