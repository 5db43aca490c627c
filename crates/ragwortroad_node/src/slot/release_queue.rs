use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::wire::slot_message::ReleaseOutcome;

/// Releases that their home hasn't confirmed.
///
/// A lost release keeps a slot occupied at the home until its time to live ends: the engine looks
/// busier than it is and gets less work than it could do. So each release is resent until the home
/// confirms it or is gone itself.
#[derive(Debug, Default)]
pub(crate) struct ReleaseQueue {
    pending: BTreeMap<u64, PendingRelease>,
}

/// An unconfirmed release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingRelease {
    /// The home that granted the slot.
    pub(crate) home: NodeId,
    pub(crate) endpoint: EndpointId,
    /// How the request ended.
    pub(crate) outcome: ReleaseOutcome,
    /// When it was last sent.
    pub(crate) last_sent: ClockTime,
}

/// Interval between two transmissions of a release.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

impl ReleaseQueue {
    /// Adds a release that is being sent now.
    pub(crate) fn add(&mut self, question: u64, release: PendingRelease) {
        self.pending.insert(question, release);
    }

    /// Removes a release that its home has confirmed.
    pub(crate) fn confirm(&mut self, home: NodeId, question: u64) {
        let known = self.pending.get(&question);
        if known.is_some_and(|release| release.home == home) {
            self.pending.remove(&question);
        }
    }

    /// Removes the releases for a home that is gone; its counts are gone with it.
    pub(crate) fn remove_node(&mut self, node: NodeId) {
        self.pending.retain(|_, release| release.home != node);
    }

    /// Returns the releases to resend now.
    pub(crate) fn take_due(&mut self, now: ClockTime) -> Vec<(u64, PendingRelease)> {
        let mut due = Vec::new();
        for (question, release) in &mut self.pending {
            if now.since(release.last_sent) >= RESEND_INTERVAL {
                release.last_sent = now;
                due.push((*question, *release));
            }
        }
        due
    }

    /// Returns the number of unconfirmed releases.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}
