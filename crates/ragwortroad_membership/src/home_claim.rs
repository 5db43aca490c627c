use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    CoarseLoad,
    HomeState,
    flap_penalty::FlapPenalty, //
};

/// This node's claim to be the home of one endpoint.
///
/// The endpoint chooses its home. It may switch to another node at any time, under a higher epoch.
/// The transit time of an announcement is unknown, so an announcement alone does not prove that the
/// endpoint still uses this home. But within one epoch an endpoint sends the next announcement only
/// after it received the response to the last one. A second announcement thus proves that the
/// endpoint still used this home when the home responded to the first one. The lease therefore
/// starts at the previous response. A new home that waits longer than one lease after the first
/// announcement it receives cannot overlap with the previous home, no matter which messages were
/// delayed or which processes were paused.
#[derive(Clone, Debug)]
pub(crate) struct HomeClaim {
    /// The endpoint's incarnation.
    pub(crate) incarnation: u64,
    /// The epoch in which the endpoint switched to this node.
    pub(crate) epoch: u64,
    /// Sequence number of the last announcement.
    pub(crate) sequence: u64,
    /// When this node responded to the last announcement.
    pub(crate) responded_at: ClockTime,
    /// When the endpoint switched to this node. It decides how long the endpoint is kept at least.
    pub(crate) held_since: ClockTime,
    /// Time at which the leases of all earlier homes have ended.
    pub(crate) exclusive_from: ClockTime,
    /// Exclusive end of this node's lease; absent until a second announcement confirms the claim.
    pub(crate) lease_end: Option<ClockTime>,
    /// The previous home, while its reply could still shorten the wait.
    pub(crate) previous_home: Option<NodeId>,
    /// When the previous home was last asked to hand over.
    pub(crate) last_handover_request: Option<ClockTime>,
    /// Whether the claim was released or superseded. It stays so for the rest of the epoch.
    pub(crate) ended: bool,
    /// Flap penalty of the endpoint.
    pub(crate) penalty: FlapPenalty,
    /// When the load was last published.
    pub(crate) load_published_at: ClockTime,
    /// The exact load of the last announcement.
    pub(crate) load: LoadReport,
    /// Whether a record of this claim was published.
    pub(crate) published: bool,
}

impl HomeClaim {
    /// Processes a later announcement of the same epoch.
    pub(crate) fn renew(&mut self, sequence: u64, now: ClockTime, lease: Duration) {
        // After a gap in the sequence, nothing proves that the last response arrived.
        if sequence == self.sequence + 1 {
            let lease_end = self.responded_at.after(lease);
            self.lease_end = Some(
                self.lease_end
                    .map_or(lease_end, |current| current.max(lease_end)),
            );
        }
        self.sequence = sequence;
        self.responded_at = now;
    }

    /// Returns the state of the claim at `now`, or `None` once it has ended or its lease has
    /// expired.
    pub(crate) fn state(&self, now: ClockTime) -> Option<HomeState> {
        if self.ended {
            return None;
        }
        match self.lease_end {
            None => Some(HomeState::Claiming),
            Some(lease_end) if now < lease_end => Some(HomeState::Home {
                exclusive_from: self.exclusive_from,
                lease_end,
            }),
            Some(_) => None,
        }
    }

    /// Whether the load of the last announcement is to be published.
    pub(crate) fn should_publish_load(
        &self,
        published: CoarseLoad,
        capacity: u32,
        now: ClockTime,
        min_interval: Duration,
    ) -> bool {
        let load = CoarseLoad::new(&self.load, capacity);
        now.since(self.load_published_at) >= min_interval
            && load.is_significant_change_from(published)
    }
}
