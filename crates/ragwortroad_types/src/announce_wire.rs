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

/// What an endpoint tells the fleet of itself, as the JSON body of `POST /v1/announce`.
///
/// An endpoint announces itself to one node at a time: the first of the addresses in the last
/// [`AnnounceResponse`](crate::AnnounceResponse), and the next one when that does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnnounceWire {
    /// The endpoint's name, unique in the fleet.
    pub name: String,
    /// `IP:port` at which it takes requests.
    pub address: String,
    /// What it does with a request.
    pub kind: EndpointKind,
    /// The failure domain (zone) it runs in.
    pub zone: String,
    /// The service's name, for a plain service.
    #[serde(default)]
    pub service: Option<String>,
    /// Models it holds ready, for an engine.
    #[serde(default)]
    pub models: Vec<ModelOffer>,
    /// Requests it works on at once before they queue.
    pub capacity: u32,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Counts up with every restart of the endpoint.
    pub incarnation: u64,
    /// Counts up by one with every announcement of one incarnation.
    pub sequence: u64,
    /// Counts up whenever the endpoint starts announcing itself to another node, and whenever an
    /// announcement got no answer, even if the next one goes to the same node.
    #[serde(default)]
    pub home_epoch: u64,
    /// Its load, somewhat late.
    pub load: LoadReport,
    /// Changes of its prefix cache since the last announcement, with gaps.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
    /// It will stop soon and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}
