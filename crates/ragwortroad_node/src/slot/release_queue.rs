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
    waiting: BTreeMap<u64, OpenRelease>,
}

/// One unconfirmed release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OpenRelease {
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
const REPEAT_AFTER: Duration = Duration::from_secs(1);

impl ReleaseQueue {
    /// Notes a release that is being sent now.
    pub(crate) fn add(&mut self, question: u64, release: OpenRelease) {
        self.waiting.insert(question, release);
    }

    /// The home confirmed it.
    pub(crate) fn confirm(&mut self, home: NodeId, question: u64) {
        let held = self.waiting.get(&question);
        if held.is_some_and(|release| release.home == home) {
            self.waiting.remove(&question);
        }
    }

    /// A home is gone, and its counts with it.
    pub(crate) fn node_gone(&mut self, node: NodeId) {
        self.waiting.retain(|_, release| release.home != node);
    }

    /// Releases to be sent again now.
    pub(crate) fn due(&mut self, now: ClockTime) -> Vec<(u64, OpenRelease)> {
        let mut due = Vec::new();
        for (question, release) in &mut self.waiting {
            if now.since(release.sent) >= REPEAT_AFTER {
                release.sent = now;
                due.push((*question, *release));
            }
        }
        due
    }

    /// Releases that no home has confirmed yet.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
