/// A granted slot of an endpoint, numbered by the endpoint's home node.
///
/// Invariant: unique among the slots that one node has granted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotId(pub u64);
