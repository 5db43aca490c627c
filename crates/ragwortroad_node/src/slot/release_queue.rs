use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::wire::slot_message::ReleaseOutcome;

/// Releases that their home has not confirmed yet.
///
/// A lost release leaves a slot taken at the home until its longest life ends: the engine looks
/// busier than it is and is sent less than it could do. So each release is repeated until the home
/// confirms it or the home itself is gone.
#[derive(Debug, Default)]
pub(crate) struct ReleaseQueue {
    pending: BTreeMap<u64, PendingRelease>,
}

/// One unconfirmed release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingRelease {
    /// The home that granted the slot.
    pub(crate) home: NodeId,
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// How the request ended.
    pub(crate) outcome: ReleaseOutcome,
    /// When it was sent last.
    pub(crate) sent: ClockTime,
}

/// Time between two sends of one release.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

impl ReleaseQueue {
    /// Notes a release that is being sent now.
    pub(crate) fn add(&mut self, question: u64, release: PendingRelease) {
        self.pending.insert(question, release);
    }

    /// The home confirmed it.
    pub(crate) fn confirm(&mut self, home: NodeId, question: u64) {
        let held = self.pending.get(&question);
        if held.is_some_and(|release| release.home == home) {
            self.pending.remove(&question);
        }
    }

    /// A home is gone, and its counts with it.
    pub(crate) fn remove_node(&mut self, node: NodeId) {
        self.pending.retain(|_, release| release.home != node);
    }

    /// Releases to be sent again now.
    pub(crate) fn take_due(&mut self, now: ClockTime) -> Vec<(u64, PendingRelease)> {
        let mut due = Vec::new();
        for (question, release) in &mut self.pending {
            if now.since(release.sent) >= RESEND_INTERVAL {
                release.sent = now;
                due.push((*question, *release));
            }
        }
        due
    }

    /// Releases that no home has confirmed yet.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}
