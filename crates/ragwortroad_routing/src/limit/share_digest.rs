use crate::CustomerKey;

/// Shares a coordinator gives to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShareDigest {
    /// One entry for each customer the node last_sent of.
    pub entries: Vec<ShareEntry>,
}

/// One node's share of one customer's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareEntry {
    /// The customer.
    pub customer: CustomerKey,
    /// The share of the rates, in 65,535ths.
    pub rate_share: u16,
    /// Requests at work at once.
    pub concurrent: u16,
}
