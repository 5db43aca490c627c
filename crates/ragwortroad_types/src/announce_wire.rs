use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CacheEvent,
    EndpointKind,
    LoadReport,
    ModelOffer, //
};

/// The announcement by which an endpoint reports its state, sent as the JSON body of `POST
/// /v1/announce`.
///
/// An endpoint announces itself to one node at a time: to the first address in the last
/// [`AnnounceResponse`](crate::AnnounceResponse), and to the next one if that node does not
/// respond.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnnounceWire {
    /// Name of the endpoint, unique in the fleet.
    pub name: String,
    /// `IP:port` on which it accepts requests.
    pub address: String,
    /// Whether it is an engine or a plain service.
    pub kind: EndpointKind,
    /// The failure domain (zone) in which it runs.
    pub zone: String,
    /// Name of the service, for a plain service.
    #[serde(default)]
    pub service: Option<String>,
    /// Models that are ready to serve, for an engine.
    #[serde(default)]
    pub models: Vec<ModelOffer>,
    /// Number of requests processed concurrently before further ones queue.
    pub capacity: u32,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Version of its software, for an engine. What engines of two builds write does not fit
    /// together, so a stream goes on only at an engine of the build that began it.
    #[serde(default)]
    pub build: Option<String>,
    /// Incremented with every restart of the endpoint.
    pub incarnation: u64,
    /// Incremented by one with every announcement of an incarnation.
    pub sequence: u64,
    /// Incremented whenever the endpoint starts to announce itself to another node, and whenever an
    /// announcement got no response, even if the next one goes to the same node.
    #[serde(default)]
    pub home_epoch: u64,
    /// Its load, measured shortly before the announcement was sent.
    pub load: LoadReport,
    /// Changes of its prefix cache since the last announcement; some may be missing.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
    /// Whether it stops soon and must receive no new requests.
    #[serde(default)]
    pub leaving: bool,
}
