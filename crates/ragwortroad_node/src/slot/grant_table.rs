use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

/// Records, at an endpoint's home, the `Ask` messages of other nodes.
///
/// Messages between nodes may be lost or resent. Without these records a resent `Ask` would take a
/// second slot that is never released, and the engine would seem busy forever; and an `Ask` that
/// arrives after its own `Release` would take a slot for a request that has ended.
#[derive(Debug, Default)]
pub(crate) struct GrantTable {
    /// Granted and not yet released.
    grants: BTreeMap<(NodeId, u64), GrantRecord>,
    /// Released recently, with the time of the release.
    released: BTreeMap<(NodeId, u64), ClockTime>,
    /// The last known run of each requester's process.
    runs: BTreeMap<NodeId, u64>,
}

/// A granted `Ask`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantRecord {
    pub(crate) endpoint: EndpointId,
    /// The slot in the route table.
    pub(crate) slot: SlotId,
}

/// What is recorded about an `Ask`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantStatus {
    /// Nothing; the home decides.
    New,
    /// Already granted; the same answer is sent again.
    Granted,
    /// Already released; nothing may be granted.
    Released,
}

/// How long a release is remembered; longer than any message is in flight.
const RELEASED_TTL: Duration = Duration::from_secs(60);

impl GrantTable {
    /// Returns what is recorded about an `Ask`.
    pub(crate) fn status(&self, requester: NodeId, question: u64) -> GrantStatus {
        let key = (requester, question);
        if self.released.contains_key(&key) {
            return GrantStatus::Released;
        }
        match self.grants.contains_key(&key) {
            true => GrantStatus::Granted,
            false => GrantStatus::New,
        }
    }

    /// Records the run of a requester's process; returns true if the process restarted since its
    /// last `Ask`.
    ///
    /// A node that crashes and restarts before its failure is detected releases none of the slots
    /// of its former run. Without this check those slots would count until their time to live ends.
    pub(crate) fn record_run(&mut self, requester: NodeId, run: u64) -> bool {
        let former = self.runs.insert(requester, run);
        former.is_some_and(|former| former != run)
    }

    /// Records a grant.
    pub(crate) fn grant(&mut self, requester: NodeId, question: u64, record: GrantRecord) {
        self.grants.insert((requester, question), record);
    }

    /// Records a release. Returns the grant the first time only.
    pub(crate) fn release(
        &mut self,
        requester: NodeId,
        question: u64,
        now: ClockTime,
    ) -> Option<GrantRecord> {
        self.released.insert((requester, question), now);
        self.grants.remove(&(requester, question))
    }

    /// Removes the releases that no message can refer to any more.
    pub(crate) fn tick(&mut self, now: ClockTime) {
        self.released
            .retain(|_, released| now.since(*released) < RELEASED_TTL);
    }

    /// Removes the grants of a node that is gone; the route table expires their slots itself.
    pub(crate) fn remove_node(&mut self, node: NodeId) {
        self.grants.retain(|(requester, _), _| *requester != node);
    }
}
