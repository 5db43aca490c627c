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

/// Something that happens at a moment of a run.
#[derive(Clone, Debug)]
pub(crate) enum BenchEvent {
    /// The next request of the plan arrives.
    RequestArrived,
    /// A request that was held looks for a place again.
    PlacementRetry { request: u32 },
    /// A question for a slot reaches the home.
    SlotRequested { request: u32, home: u32 },
    /// The home's answer reaches the asker.
    SlotAnswered { request: u32, answer: SlotAnswer },
    /// A request reaches its engine.
    EngineReached { request: u32, engine: u32 },
    /// An engine's step ends.
    StepEnded { engine: u32, incarnation: u32 },
    /// The end of a request's attempt reaches its node.
    AttemptEnded { request: u32, whole: bool },
    /// A slot given back reaches the home.
    SlotReleased {
        home: u32,
        engine: u32,
        slot: SlotId,
        outcome: SlotOutcome,
    },
    /// An engine announces itself.
    AnnouncementDue { engine: u32 },
    /// An announcement reaches the engine's home.
    AnnouncementArrived {
        engine: u32,
        report: LoadReport,
        events: Vec<CacheEvent>,
    },
    /// Homes tell of their engines.
    DigestsDue,
    /// Digests reach all nodes.
    DigestsArrived {
        digests: Rc<Vec<Option<LoadDigest>>>,
    },
    /// Nodes sweep, and tell keepers of demand.
    UpkeepDue,
    /// Demand reaches a keeper.
    DemandArrived {
        node: u32,
        keeper: u32,
        digest: DemandDigest,
    },
    /// Shares reach a node.
    ShareArrived { node: u32, digest: ShareDigest },
    /// A node learns of a change.
    UpdateArrived { node: u32, news: MembershipUpdate },
    /// Something goes wrong, by number.
    Disturbance(usize),
}
