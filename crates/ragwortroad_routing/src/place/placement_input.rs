use ragwortroad_types::EndpointId;

use crate::{
    OfferKey,
    ZoneKey, //
};

/// What is observed and wanted, for [`PlacementPlan::of`](crate::PlacementPlan::of).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementInput {
    /// What is to be served, the most urgent first where two want the same engine.
    pub demands: Vec<OfferDemand>,
    /// The engines there are, and what each holds.
    pub engines: Vec<EngineSnapshot>,
    /// Loads the weight store and the engines may begin now.
    pub max_loads: usize,
}

/// How much one offer is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferDemand {
    /// The model, version and adapter.
    pub offer: OfferKey,
    /// Requests at work on average, refused ones included.
    pub demand: f64,
    /// Engines that hold it whatever the demand; 0 for one that is no longer declared.
    pub min_engines: usize,
    /// Engines that hold it at the most, whatever the demand.
    pub max_engines: usize,
}

/// One engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSnapshot {
    /// The engine.
    pub id: EndpointId,
    /// Its failure domain.
    pub zone: ZoneKey,
    /// Requests it works on at once.
    pub capacity: u32,
    /// Offers it has room for.
    pub max_offers: usize,
    /// Offers it holds or is loading.
    pub offers: Vec<OfferKey>,
    /// Whether it takes work.
    pub takes_work: bool,
}
