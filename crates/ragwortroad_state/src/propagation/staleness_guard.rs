use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;
use snafu::Snafu;

/// Questions whose answers are still taken.
const MAX_OPEN_REQUESTS: usize = 32;

/// Decides on a node whether it may admit work now.
///
/// A node starts without a configuration and without leave; it has both after its first answer.
/// All spans count from the time at which the node *asked*, so that an answer that was long on the
/// way gives no more leave than a quick one.
#[derive(Clone, Debug, Default)]
pub struct StalenessGuard {
    /// Invariant: never falls.
    revision: u64,
    last_request_number: u64,
    lease_requests: VecDeque<(u64, ClockTime)>,
    admit_until: Option<ClockTime>,
    /// Members that promised to accept no change beyond `revision`.
    promises: BTreeMap<NodeId, MemberPromise>,
}

#[derive(Clone, Debug)]
struct MemberPromise {
    until: ClockTime,
    members: BTreeSet<NodeId>,
}

/// Why a node may not admit work now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum NotCurrent {
    /// It has had no answer since its start.
    #[snafu(display("this node has no configuration yet; use another of the fleet's addresses"))]
    NeverConfirmed,
    /// Its last leave is over.
    #[snafu(display(
        "this node could not confirm for {} ms that its configuration is current; use another of \
         the fleet's addresses",
        over_by.as_millis()
    ))]
    NotConfirmed {
        /// For how long it is over.
        over_by: Duration,
    },
}

impl StalenessGuard {
    /// The revision in force here.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that `revision` is in force here, on every thread that admits work.
    pub fn record_adoption(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.promises.clear();
        }
    }

    /// Notes that the node asks at `now`; the number goes out with the question.
    pub fn start_lease_request(&mut self, now: ClockTime) -> u64 {
        self.last_request_number += 1;
        self.lease_requests
            .push_back((self.last_request_number, now));
        if self.lease_requests.len() > MAX_OPEN_REQUESTS {
            self.lease_requests.pop_front();
        }
        self.last_request_number
    }

    /// Takes the leader's answer to question `ask`: leave for `lease` with `revision`. The update
    /// that came with it must have been adopted before. Returns whether it counts.
    ///
    /// An answer with another revision than the one in force here gives no leave: an older one
    /// comes from a leader that was replaced, and a newer one was not adopted yet.
    pub fn record_grant(&mut self, ask: u64, revision: u64, lease: Duration) -> bool {
        let Some(asked_at) = self.requested_at(ask) else {
            return false;
        };
        if revision != self.revision {
            return false;
        }
        self.admit_until = self.admit_until.max(Some(asked_at.after(lease)));
        true
    }

    /// Takes a member's promise, in answer to question `ask`, to accept no change beyond
    /// `revision` for at least `lease`. `members` are those of the newest membership in its log.
    pub fn record_promise(
        &mut self,
        ask: u64,
        member: NodeId,
        revision: u64,
        members: BTreeSet<NodeId>,
        lease: Duration,
    ) -> bool {
        let Some(asked_at) = self.requested_at(ask) else {
            return false;
        };
        if revision != self.revision || self.admit_until.is_none() {
            return false;
        }
        let until = asked_at.after(lease);
        self.promises
            .insert(member, MemberPromise { until, members });
        true
    }

    /// Whether the node may admit work at `now`.
    pub fn may_admit(&self, now: ClockTime) -> Result<(), NotCurrent> {
        let Some(until) = self.admit_until else {
            return Err(NotCurrent::NeverConfirmed);
        };
        if now < until || self.has_blocking_promises(now) {
            return Ok(());
        }
        Err(NotCurrent::NotConfirmed {
            over_by: now.since(until),
        })
    }

    /// Whether so many members have promised that the others are too few to accept anything.
    fn has_blocking_promises(&self, now: ClockTime) -> bool {
        let valid = self
            .promises
            .iter()
            .filter(|(_, promise)| promise.until > now);
        let promised: BTreeSet<NodeId> = valid.clone().map(|(member, _)| *member).collect();
        let blocks = |members: &BTreeSet<NodeId>| {
            let quorum = members.len() / 2 + 1;
            members.difference(&promised).count() < quorum
        };
        !promised.is_empty()
            && valid
                .into_iter()
                .all(|(_, promise)| blocks(&promise.members))
    }

    fn requested_at(&self, ask: u64) -> Option<ClockTime> {
        let asked = self
            .lease_requests
            .iter()
            .find(|(number, _)| *number == ask);
        asked.map(|(_, asked_at)| *asked_at)
    }
}
