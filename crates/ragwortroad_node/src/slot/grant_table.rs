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
pub(crate) struct GrantTable {
    /// Granted and not yet released.
    grants: BTreeMap<(NodeId, u64), GrantRecord>,
    /// Released lately, with the time of the release.
    released: BTreeMap<(NodeId, u64), ClockTime>,
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
pub(crate) enum GrantStatus {
    /// Not seen before; decide.
    New,
    /// Granted before; say so again.
    Granted,
    /// Released already; grant nothing.
    Released,
}

/// How long a released question is remembered; longer than any message is under way.
const RELEASED_TTL: Duration = Duration::from_secs(60);

impl GrantTable {
    /// Whether a question was seen before.
    pub(crate) fn look_up(&self, requester: NodeId, question: u64) -> GrantStatus {
        let key = (requester, question);
        if self.released.contains_key(&key) {
            return GrantStatus::Released;
        }
        match self.grants.contains_key(&key) {
            true => GrantStatus::Granted,
            false => GrantStatus::New,
        }
    }

    /// Notes an asker's run; true where its process was started anew since it last asked.
    ///
    /// A node that crashes and is back before it is missed gives nothing back of what its former
    /// run held. Without this those slots would count until their longest life is over.
    pub(crate) fn record_run(&mut self, requester: NodeId, run: u64) -> bool {
        let former = self.runs.insert(requester, run);
        former.is_some_and(|former| former != run)
    }

    /// Notes a grant.
    pub(crate) fn grant(&mut self, requester: NodeId, question: u64, record: GrantRecord) {
        self.grants.insert((requester, question), record);
    }

    /// Ends a question; the record comes back the first time only.
    pub(crate) fn end(
        &mut self,
        requester: NodeId,
        question: u64,
        now: ClockTime,
    ) -> Option<GrantRecord> {
        self.released.insert((requester, question), now);
        self.grants.remove(&(requester, question))
    }

    /// Forgets what no message can ask for any more.
    pub(crate) fn tick(&mut self, now: ClockTime) {
        self.released
            .retain(|_, released| now.since(*released) < RELEASED_TTL);
    }

    /// Forgets the grants of a node that is gone; the route table ends their slots itself.
    pub(crate) fn remove_node(&mut self, node: NodeId) {
        self.grants.retain(|(requester, _), _| *requester != node);
    }
}
