use ragwortroad_types::{
    EndpointId,
    EndpointKind,
    NodeId, //
};

use crate::{
    FleetKey,
    OfferKey,
    ZoneKey, //
};

/// What membership and configuration say about one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointFacts {
    /// Identity of the endpoint across nodes.
    pub id: EndpointId,
    /// Whether the endpoint is an engine or a plain service.
    pub kind: EndpointKind,
    /// The endpoints with whose mean load its load is compared.
    pub fleet: FleetKey,
    /// The failure domain in which it runs.
    pub zone: ZoneKey,
    /// Requests that it processes at once; further ones queue.
    pub capacity: u32,
    /// Everything that it can serve.
    pub offers: Vec<OfferKey>,
    /// The only node that admits requests to it.
    pub home: NodeId,
    /// The endpoint announced that it will stop soon.
    pub leaving: bool,
    /// An operator excluded it from new requests.
    pub drained: bool,
}

impl EndpointFacts {
    /// Whether new requests may be sent to the endpoint.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.drained
    }
}
