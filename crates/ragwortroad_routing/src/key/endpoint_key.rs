/// Index of an endpoint in the arena of one [`RouteTable`](crate::RouteTable).
///
/// Invariant: valid only in the table that created it and until the endpoint is removed. Nodes
/// identify endpoints to each other by `EndpointId`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub(crate) u32);

impl EndpointKey {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}
