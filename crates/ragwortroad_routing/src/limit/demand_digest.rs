use crate::CustomerKey;

/// Recent demand at one node, sent to the coordinators of the customers about once a second. On the
/// wire an entry takes 8 bytes for the customer and 2 for each number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandDigest {
    /// One entry for each customer with recent requests.
    pub entries: Vec<DemandEntry>,
}

/// One customer's demand at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandEntry {
    /// The customer that sent the requests.
    pub customer: CustomerKey,
    /// Requests received in ten seconds, refused ones included.
    pub requests_per_10_s: u16,
    /// Highest recent number of requests in flight or refused for concurrency.
    pub concurrent: u16,
}
