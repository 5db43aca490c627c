use ragwortroad_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Separates the hashes of nodes from those of endpoints in [`RecordKey::short_hash`].
const NODE_SEED: u64 = 1;
/// Separates the hashes of endpoints from those of nodes in [`RecordKey::short_hash`].
const ENDPOINT_SEED: u64 = 2;

/// Key of a replicated record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum RecordKey {
    /// A node's record.
    Node(NodeId),
    /// An endpoint's record.
    Endpoint(EndpointId),
}

impl RecordKey {
    /// A 32-bit hash that identifies the record in packets.
    ///
    /// Two records may share a hash (with a probability of about 1 in 7,000 at a thousand records).
    /// A receiver that finds several records for a hash treats it as naming all of them.
    pub(crate) fn short_hash(self) -> u32 {
        match self {
            Self::Node(id) => xxh3_64_with_seed(&id.0.to_le_bytes(), NODE_SEED) as u32,
            Self::Endpoint(id) => xxh3_64_with_seed(&id.0.to_le_bytes(), ENDPOINT_SEED) as u32,
        }
    }
}

/// Key of an update that is queued for a neighbour.
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
