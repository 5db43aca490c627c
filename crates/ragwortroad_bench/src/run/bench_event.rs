use std::rc::Rc;

use ragwortroad_routing::{
    DemandDigest,
    LoadDigest,
    ShareDigest,
    SlotAnswer,
    SlotId,
    SlotOutcome, //
};
use ragwortroad_types::{
    CacheEvent,
    LoadReport, //
};

use crate::run::membership_update::MembershipUpdate;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum BenchEvent {
    /// The next request of the arrival plan arrives.
    RequestArrived,
    /// A held request is routed again.
    PlacementRetry { request: u32 },
    /// A slot request reaches the home.
    SlotRequested { request: u32, home: u32 },
    /// The home's answer reaches the requester.
    SlotAnswered { request: u32, answer: SlotAnswer },
    /// A request reaches its engine.
    EngineReached { request: u32, engine: u32 },
    /// An engine's step ends.
    StepEnded { engine: u32, incarnation: u32 },
    /// The end of an attempt reaches the request's node.
    AttemptEnded { request: u32, succeeded: bool },
    /// The release of a slot reaches the home.
    SlotReleased {
        home: u32,
        engine: u32,
        slot: SlotId,
        outcome: SlotOutcome,
    },
    /// An engine is due to send its next announcement.
    AnnouncementDue { engine: u32 },
    /// An announcement reaches the engine's home.
    AnnouncementArrived {
        engine: u32,
        report: LoadReport,
        events: Vec<CacheEvent>,
    },
    /// Homes send the load digests of their engines.
    DigestsDue,
    /// Load digests reach all nodes.
    DigestsArrived {
        digests: Rc<Vec<Option<LoadDigest>>>,
    },
    /// Nodes run their periodic upkeep and report demand to coordinators.
    UpkeepDue,
    /// A demand digest reaches a coordinator.
    DemandArrived {
        node: u32,
        coordinator: u32,
        digest: DemandDigest,
    },
    /// A share digest reaches a node.
    ShareArrived { node: u32, digest: ShareDigest },
    /// A membership update reaches a node.
    UpdateArrived { node: u32, update: MembershipUpdate },
    /// The disturbance with this index in the disturbance plan occurs.
    Disturbance(usize),
}
