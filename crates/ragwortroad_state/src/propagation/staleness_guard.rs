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

/// Lease requests whose answers are still accepted.
const MAX_OPEN_REQUESTS: usize = 32;

/// Decides on a node whether it may admit work now.
///
/// A node starts without a configuration and without a lease, and has both after the first answer.
/// Leases count from the time at which the node *sent* the request, so that a delayed answer does
/// not extend them.
#[derive(Clone, Debug, Default)]
pub struct StalenessGuard {
    /// Invariant: never decreases.
    revision: u64,
    last_request_number: u64,
    lease_requests: VecDeque<(u64, ClockTime)>,
    admit_until: Option<ClockTime>,
    /// Members that promised not to accept any change after `revision`.
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
    /// The node has received no lease since it started.
    #[snafu(display("this node has no configuration yet; use another of the fleet's addresses"))]
    NeverConfirmed,
    /// The node's last lease has expired.
    #[snafu(display(
        "this node could not confirm for {} ms that its configuration is current; use another of \
         the fleet's addresses",
        over_by.as_millis()
    ))]
    NotConfirmed {
        /// Time since the lease expired.
        over_by: Duration,
    },
}

impl StalenessGuard {
    /// The revision in force on this node; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that `revision` is in force on every thread of this node that admits work.
    pub fn record_adoption(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.promises.clear();
        }
    }

    /// Records a lease request sent at `now` and returns its number, which is sent along.
    pub fn start_lease_request(&mut self, now: ClockTime) -> u64 {
        self.last_request_number += 1;
        self.lease_requests
            .push_back((self.last_request_number, now));
        if self.lease_requests.len() > MAX_OPEN_REQUESTS {
            self.lease_requests.pop_front();
        }
        self.last_request_number
    }

    /// Records the leader's answer to request `request_number`: a lease of duration `lease` for
    /// `revision`. The update that came with it must have been adopted before. Returns whether the
    /// lease was accepted.
    ///
    /// An answer with another revision than the one in force gives no lease: an older one comes
    /// from a leader that was replaced, and a newer one was not adopted yet.
    pub fn record_grant(&mut self, request_number: u64, revision: u64, lease: Duration) -> bool {
        let Some(requested_at) = self.requested_at(request_number) else {
            return false;
        };
        if revision != self.revision {
            return false;
        }
        self.admit_until = self.admit_until.max(Some(requested_at.after(lease)));
        true
    }

    /// Records a member's promise, in answer to request `request_number`, to accept no change after
    /// `revision` for at least `lease`.
    /// `members` is the newest membership in that member's log. Returns whether the promise was
    /// accepted.
    pub fn record_promise(
        &mut self,
        request_number: u64,
        member: NodeId,
        revision: u64,
        members: BTreeSet<NodeId>,
        lease: Duration,
    ) -> bool {
        let Some(requested_at) = self.requested_at(request_number) else {
            return false;
        };
        if revision != self.revision || self.admit_until.is_none() {
            return false;
        }
        let until = requested_at.after(lease);
        self.promises
            .insert(member, MemberPromise { until, members });
        true
    }

    /// Returns `Ok` if the node may admit work at `now`.
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

    /// Whether so many members promised that the others cannot form a quorum.
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

    fn requested_at(&self, request_number: u64) -> Option<ClockTime> {
        let request = self
            .lease_requests
            .iter()
            .find(|(number, _)| *number == request_number);
        request.map(|(_, requested_at)| *requested_at)
    }
}
