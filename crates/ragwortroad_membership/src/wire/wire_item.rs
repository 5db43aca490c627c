use serde::{
    Deserialize,
    Serialize, //
};

use crate::wire::{
    endpoint_item::EndpointItem,
    node_item::NodeItem, //
};

/// An update, request or reply in a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum WireItem {
    /// A node's full record.
    Node(NodeItem),
    /// Incarnation and state of a node whose metadata the receiver should know.
    NodeState(NodeStateItem),
    /// An endpoint's full record.
    Endpoint(EndpointItem),
    /// An endpoint's load.
    Load(LoadItem),
    /// A node's blob.
    Blob(BlobItem),
    /// Asks the receiver to probe a node.
    ProbeFor(ProbeItem),
    /// Confirms that the probed node responded.
    Reached(ProbeItem),
    /// Asks the home of the previous epoch to give up an endpoint.
    HandoverAsk(HandoverAskItem),
    /// Confirms that the sender gave up the endpoint, with the wait for homes before it.
    Handover(HandoverItem),
    /// Hashes of all buckets of the sender's digest.
    Buckets(Vec<u16>),
    /// The entries that the sender holds in one bucket.
    BucketKeys(BucketItem),
    /// Requests the full records with these short hashes.
    Wants(Vec<u32>),
}

/// Incarnation and state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct NodeStateItem {
    /// Identity of the node.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) node: u64,
    pub(crate) incarnation: u64,
    /// Number of the state.
    pub(crate) state: u8,
    /// Hash of the node's other fields.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) facts: u16,
}

/// An endpoint's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LoadItem {
    /// Short hash of the endpoint's key.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) key: u32,
    /// Low byte of the endpoint's incarnation, so that a load of an earlier incarnation is not
    /// applied.
    pub(crate) incarnation: u8,
    /// Sequence number of the announcement that the load is from.
    pub(crate) sequence: u64,
    /// Load in steps of a [`CoarseLoad`](crate::CoarseLoad).
    pub(crate) load: u8,
}

/// A node's blob.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct BlobItem {
    /// Identity of the node that published the blob.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) node: u64,
    /// Kind of the blob.
    pub(crate) kind: u8,
    /// Incarnation of the node at publication.
    pub(crate) incarnation: u64,
    /// Incremented with every version of the blob within the incarnation.
    pub(crate) version: u64,
    pub(crate) bytes: Vec<u8>,
}

/// Names the node of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ProbeItem {
    /// Identity of the probed node.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) target: u64,
}

/// Asks the previous home to give up an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HandoverAskItem {
    /// Identity of the endpoint.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) endpoint: u64,
    /// Incarnation of the endpoint.
    pub(crate) incarnation: u64,
    /// Epoch of the requesting node's claim.
    pub(crate) epoch: u64,
}

/// The previous home's reply to a handover request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HandoverItem {
    /// Identity of the endpoint.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) endpoint: u64,
    /// Incarnation of the endpoint.
    pub(crate) incarnation: u64,
    /// Epoch of the previous home's claim, which has ended.
    pub(crate) epoch: u64,
    /// Milliseconds, by the previous home's clock, until the leases of still earlier homes have
    /// ended.
    pub(crate) wait_ms: u64,
}

/// The entries that a node holds in one bucket of its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct BucketItem {
    /// Index of the bucket.
    pub(crate) bucket: u8,
    /// Whether this is a reply to such an item, which must not be answered in turn.
    pub(crate) answer: bool,
    pub(crate) entries: Vec<BucketEntry>,
}

/// A record in a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct BucketEntry {
    /// Short hash of the record's key.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) key: u32,
    /// Low 16 bits of the record's version hash.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) version: u16,
}
