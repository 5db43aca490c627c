use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

/// What a home remembers of other nodes' questions.
///
/// Messages between nodes are lost and repeated. Without this memory a repeated question would
/// take a second slot that nobody gives back, and the engine would look busy for ever; and a
/// question that arrives after its own release would take a slot for a request that is over.
#[derive(Debug, Default)]
pub(crate) struct GrantBook {
    /// Granted and not yet released.
    grants: BTreeMap<(NodeId, u64), GrantRecord>,
    /// Released lately, with the time of the release.
    ended: BTreeMap<(NodeId, u64), ClockTime>,
    /// The run of each asker's process, as it last said.
    runs: BTreeMap<NodeId, u64>,
}

/// One granted question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantRecord {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// The slot in the route table.
    pub(crate) slot: SlotId,
}

/// What the book says to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BookAnswer {
    /// Not seen before; decide.
    New,
    /// Granted before; say so again.
    Granted,
    /// Released already; grant nothing.
    Ended,
}

/// How long a released question is remembered; longer than any message is under way.
const ENDED_MEMORY: Duration = Duration::from_secs(60);

impl GrantBook {
    /// Whether a question was seen before.
    pub(crate) fn look_up(&self, asker: NodeId, question: u64) -> BookAnswer {
        let key = (asker, question);
        if self.ended.contains_key(&key) {
            return BookAnswer::Ended;
        }
        match self.grants.contains_key(&key) {
            true => BookAnswer::Granted,
            false => BookAnswer::New,
        }
    }

    /// Notes an asker's run; true where its process was started anew since it last asked.
    ///
    /// A node that crashes and is back before it is missed gives nothing back of what its former
    /// run held. Without this those slots would count until their longest life is over.
    pub(crate) fn is_new_run(&mut self, asker: NodeId, run: u64) -> bool {
        let former = self.runs.insert(asker, run);
        former.is_some_and(|former| former != run)
    }

    /// Notes a grant.
    pub(crate) fn grant(&mut self, asker: NodeId, question: u64, record: GrantRecord) {
        self.grants.insert((asker, question), record);
    }

    /// Ends a question; the record comes back the first time only.
    pub(crate) fn end(
        &mut self,
        asker: NodeId,
        question: u64,
        now: ClockTime,
    ) -> Option<GrantRecord> {
        self.ended.insert((asker, question), now);
        self.grants.remove(&(asker, question))
    }

    /// Forgets what no message can ask for any more.
    pub(crate) fn tick(&mut self, now: ClockTime) {
        self.ended
            .retain(|_, ended| now.since(*ended) < ENDED_MEMORY);
    }

    /// Forgets the grants of a node that is gone; the route table ends their slots itself.
    pub(crate) fn node_gone(&mut self, node: NodeId) {
        self.grants.retain(|(asker, _), _| *asker != node);
    }
}
