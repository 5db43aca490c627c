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

use crate::run::node_news::NodeNews;

/// Something that happens at a moment of a run.
#[derive(Clone, Debug)]
pub(crate) enum BenchEvent {
    /// The next request of the plan arrives.
    Arrive,
    /// A request that was held looks for a place again.
    Look { request: u32 },
    /// A question for a slot reaches the home.
    Ask { request: u32, home: u32 },
    /// The home's answer reaches the asker.
    Answer { request: u32, answer: SlotAnswer },
    /// A request reaches its engine.
    Reach { request: u32, engine: u32 },
    /// An engine's step ends.
    Step { engine: u32, incarnation: u32 },
    /// The end of a request's attempt reaches its node.
    Ended { request: u32, whole: bool },
    /// A slot given back reaches the home.
    Release {
        home: u32,
        engine: u32,
        slot: SlotId,
        outcome: SlotOutcome,
    },
    /// An engine announces itself.
    Announce { engine: u32 },
    /// An announcement reaches the engine's home.
    Announced {
        engine: u32,
        report: LoadReport,
        events: Vec<CacheEvent>,
    },
    /// Homes tell of their engines.
    Digest,
    /// Digests reach all nodes.
    Digested {
        digests: Rc<Vec<Option<LoadDigest>>>,
    },
    /// Nodes sweep, and tell keepers of demand.
    Second,
    /// Demand reaches a keeper.
    Demand {
        node: u32,
        keeper: u32,
        digest: DemandDigest,
    },
    /// Shares reach a node.
    Share { node: u32, digest: ShareDigest },
    /// A node learns of a change.
    Learn { node: u32, news: NodeNews },
    /// Something goes wrong, by number.
    Change(usize),
}
