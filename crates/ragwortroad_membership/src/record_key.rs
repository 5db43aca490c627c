use ragwortroad_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Sets node keys apart from endpoint keys in [`RecordKey::short`].
const NODE_SEED: u64 = 1;
/// Sets endpoint keys apart from node keys in [`RecordKey::short`].
const ENDPOINT_SEED: u64 = 2;

/// Names a record that all nodes hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum RecordKey {
    /// A node's record.
    Node(NodeId),
    /// An endpoint's record.
    Endpoint(EndpointId),
}

impl RecordKey {
    /// A short name for packets.
    ///
    /// Two records may share it (about one chance in 7,000 at a thousand records); whoever finds
    /// several records under a short name treats it as naming all of them.
    pub(crate) fn short_hash(self) -> u32 {
        match self {
            Self::Node(id) => xxh3_64_with_seed(&id.0.to_le_bytes(), NODE_SEED) as u32,
            Self::Endpoint(id) => xxh3_64_with_seed(&id.0.to_le_bytes(), ENDPOINT_SEED) as u32,
        }
    }
}

/// Names a piece of news that waits to be sent to a neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum UpdateKey {
    /// A node's record.
    Node(NodeId),
    /// An endpoint's record.
    Endpoint(EndpointId),
    /// An endpoint's load.
    Load(EndpointId),
    /// A node's blob of one kind.
    Blob(NodeId, u8),
}

impl From<RecordKey> for UpdateKey {
    fn from(key: RecordKey) -> Self {
        match key {
            RecordKey::Node(id) => Self::Node(id),
            RecordKey::Endpoint(id) => Self::Endpoint(id),
        }
    }
}
