/// Key of an endpoint within one edge's [`EndpointTable`](crate::EndpointTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub u32);
