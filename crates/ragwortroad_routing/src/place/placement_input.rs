use ragwortroad_types::EndpointId;

use crate::{
    OfferKey,
    ZoneKey, //
};

/// Observed state and demand, the input of
/// [`PlacementPlan::compute`](crate::PlacementPlan::compute).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementInput {
    /// The offers to serve, the most urgent first where two compete for an engine.
    pub demands: Vec<OfferDemand>,
    /// The known engines and their offers.
    pub engines: Vec<EngineSnapshot>,
    /// Loads that the weight store and the engines may start now.
    pub max_loads: usize,
}

/// Demand for one offer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferDemand {
    /// The model, version and adapter.
    pub offer: OfferKey,
    /// Average requests in flight, refused ones included.
    pub demand: f64,
    /// Fewest engines that hold the offer, whatever the demand; 0 for one that is no longer
    /// declared.
    pub min_engines: usize,
    /// Most engines that hold the offer, whatever the demand.
    pub max_engines: usize,
}

/// Observed state of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSnapshot {
    /// Identity of the engine across nodes.
    pub id: EndpointId,
    /// The engine's failure domain.
    pub zone: ZoneKey,
    /// Requests that it processes at once.
    pub capacity: u32,
    /// Offers that fit on it, those in `offers` included.
    pub max_offers: usize,
    /// Offers that it holds or is loading.
    pub offers: Vec<OfferKey>,
    /// Whether new requests may be sent to it.
    pub takes_work: bool,
}
