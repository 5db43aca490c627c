use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    CoarseLoad,
    HomeState,
    flap_penalty::FlapPenalty, //
};

/// This node's claim to be home to one endpoint.
///
/// The endpoint grants the home; it turns to another node under a higher epoch whenever it likes.
/// How long an announcement was on the way is not known, so receiving one proves nothing about
/// now. But an endpoint sends the next announcement of an epoch only after it got the answer to
/// the last one, so a second announcement proves that it was still with us when we answered the
/// first. The lease therefore runs from the answer before, and a new home that waits longer than a
/// lease after it first heard the endpoint cannot overlap, whatever was delayed or paused.
#[derive(Clone, Debug)]
pub(crate) struct HomeClaim {
    /// The endpoint's incarnation.
    pub(crate) incarnation: u64,
    /// The epoch in which the endpoint turned to us.
    pub(crate) epoch: u64,
    /// The last announcement.
    pub(crate) sequence: u64,
    /// When we answered the last announcement.
    pub(crate) answered_at: ClockTime,
    /// When the endpoint turned to us, for the shortest stay.
    pub(crate) held_since: ClockTime,
    /// By then every earlier home's right has ended.
    pub(crate) exclusive_from: ClockTime,
    /// Our right ends before this time; nothing while no second announcement came.
    pub(crate) lease_end: Option<ClockTime>,
    /// The home before us, as long as its word would shorten the wait.
    pub(crate) previous_home: Option<NodeId>,
    /// When the former home was last asked.
    pub(crate) last_handover_request: Option<ClockTime>,
    /// Whether we gave it up or lost it; never undone within the epoch.
    pub(crate) ended: bool,
    /// Recent restarts of the endpoint.
    pub(crate) penalty: FlapPenalty,
    /// When the fleet was last told of the load.
    pub(crate) load_published_at: ClockTime,
    /// The exact load of the last announcement.
    pub(crate) load: LoadReport,
    /// Whether the fleet was told of this claim.
    pub(crate) published: bool,
}

impl HomeClaim {
    /// Takes a later announcement of the same epoch.
    pub(crate) fn renew(&mut self, sequence: u64, now: ClockTime, lease: Duration) {
        // After a gap nothing proves that our last answer arrived.
        if sequence == self.sequence + 1 {
            let lease_end = self.answered_at.after(lease);
            self.lease_end = Some(
                self.lease_end
                    .map_or(lease_end, |current| current.max(lease_end)),
            );
        }
        self.sequence = sequence;
        self.answered_at = now;
    }

    /// What the claim amounts to at `now`; nothing once it has ended or its lease is over.
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

    /// Whether the fleet should hear of the last announcement's load.
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
