use crate::CustomerKey;

/// Shares that a coordinator assigns to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShareDigest {
    /// One entry for each customer whose demand the node reported.
    pub entries: Vec<ShareEntry>,
}

/// One node's share of one customer's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareEntry {
    /// The customer whose limits are divided.
    pub customer: CustomerKey,
    /// Share of the rates, in units of 1/65,535.
    pub rate_share: u16,
    /// Requests that may be in flight at once, beyond the even part of the node.
    pub concurrent: u16,
}
