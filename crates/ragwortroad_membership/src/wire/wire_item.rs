use serde::{
    Deserialize,
    Serialize, //
};

use crate::wire::{
    endpoint_item::EndpointItem,
    node_item::NodeItem, //
};

/// One piece of news, question or answer in a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum WireItem {
    /// A node's whole record.
    Node(NodeItem),
    /// Incarnation and state of a node whose other facts the receiver should know.
    NodeState(NodeStateItem),
    /// An endpoint's whole record.
    Endpoint(EndpointItem),
    /// An endpoint's load.
    Load(LoadItem),
    /// What a node attached.
    Blob(BlobItem),
    /// Please find out whether this node answers.
    ProbeFor(ProbeItem),
    /// This node answered me.
    Reached(ProbeItem),
    /// Are you done as home of an earlier epoch of this endpoint?
    HandoverAsk(HandoverAskItem),
    /// I am done; earlier homes are by the time given.
    Handover(HandoverItem),
    /// Hashes of all buckets of the sender's digest.
    Buckets(Vec<u16>),
    /// What the sender holds in one bucket.
    BucketKeys(BucketItem),
    /// Please send these records.
    Wants(Vec<u32>),
}

/// Incarnation and state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct NodeStateItem {
    /// The node.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) node: u64,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// Its state's number.
    pub(crate) state: u8,
    /// Hash of its other facts.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) facts: u16,
}

/// An endpoint's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LoadItem {
    /// Short name of the endpoint.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) key: u32,
    /// Low byte of the endpoint's incarnation, so that news of a former one is not taken for this.
    pub(crate) incarnation: u8,
    /// The announcement it is from.
    pub(crate) sequence: u64,
    /// The load.
    pub(crate) load: u8,
}

/// What a node attached.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct BlobItem {
    /// The node.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) node: u64,
    /// Its kind.
    pub(crate) kind: u8,
    /// The node's incarnation.
    pub(crate) incarnation: u64,
    /// Counts up within the incarnation.
    pub(crate) version: u64,
    /// The content.
    pub(crate) bytes: Vec<u8>,
}

/// Names a node to probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ProbeItem {
    /// The node.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) target: u64,
}

/// Asks a former home to give up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HandoverAskItem {
    /// The endpoint.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) endpoint: u64,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// The asking node's epoch.
    pub(crate) epoch: u64,
}

/// A former home's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HandoverItem {
    /// The endpoint.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) endpoint: u64,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// The former home's epoch, which has ended.
    pub(crate) epoch: u64,
    /// Milliseconds by the former home's clock until homes before it are done as well.
    pub(crate) wait_ms: u64,
}

/// What a node holds in one bucket of its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct BucketItem {
    /// The bucket.
    pub(crate) bucket: u8,
    /// Whether it answers such an item, and so wants none back.
    pub(crate) answer: bool,
    /// What is in it.
    pub(crate) entries: Vec<BucketEntry>,
}

/// One record in a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct BucketEntry {
    /// Short name of the record.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) key: u32,
    /// Hash of its version.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) version: u16,
}
