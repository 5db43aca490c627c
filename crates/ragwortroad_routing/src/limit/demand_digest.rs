use crate::CustomerKey;

/// What one node's callers wanted lately, sent to the keepers of these customers about once a
/// second. On the wire an entry takes 8 bytes for the customer and 2 for each figure.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandDigest {
    /// One entry for each customer that asked for anything lately.
    pub entries: Vec<DemandEntry>,
}

/// One customer's demand at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandEntry {
    /// The customer.
    pub customer: CustomerKey,
    /// Requests asked for in ten seconds, refused ones included.
    pub requests_per_10_s: u16,
    /// Most requests at work or refused for concurrency lately.
    pub concurrent: u16,
}
