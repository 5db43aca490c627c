/// Place of an endpoint in the arena of one [`RouteTable`](crate::RouteTable).
///
/// Invariant: means nothing outside the table that made it, and nothing after the endpoint was
/// removed; between nodes endpoints are named by `EndpointId`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub(crate) u32);

impl EndpointKey {
    /// The index into the arena.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}
