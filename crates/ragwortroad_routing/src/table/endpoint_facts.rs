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

/// What membership and configuration say of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointFacts {
    /// Its identity.
    pub id: EndpointId,
    /// What it does with a request.
    pub kind: EndpointKind,
    /// Whose mean its load is compared with.
    pub fleet: FleetKey,
    /// The failure domain it runs in.
    pub zone: ZoneKey,
    /// Requests it works on at once before they queue.
    pub capacity: u32,
    /// Everything it can serve.
    pub offers: Vec<OfferKey>,
    /// The one node that admits work to it.
    pub home: NodeId,
    /// It will stop soon.
    pub leaving: bool,
    /// An operator wants no new work on it.
    pub drained: bool,
}

impl EndpointFacts {
    /// Whether new work may be sent to it at all.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.drained
    }
}
