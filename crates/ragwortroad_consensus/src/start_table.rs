use std::collections::BTreeMap;

use crate::{
    MemberId,
    MemberSet,
    MemberStart, //
};

/// The latest start number known of each member.
///
/// A member that restarts with a rolled-back disk may have lost what it acknowledged before, so it
/// queries enough others before it takes part again. One hazard remains: a leader could count an
/// acknowledgement from before that restart together with one that another member gives after it
/// replied to the query without having the entry. So every vote and acknowledgement carries this
/// table, and the member that counts them drops those from older starts.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartTable {
    starts: BTreeMap<MemberId, u64>,
    /// Start numbers that are on disk or in a batch to be written.
    persisted: BTreeMap<MemberId, u64>,
}

/// How a start number compares with the latest known one of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOrder {
    /// The latest known start.
    Same,
    /// The member has restarted since.
    Newer,
    /// The message was sent before the latest known start.
    Older,
}

impl StartTable {
    /// Restores the start numbers that were sent to others before this member's own restart.
    pub(crate) fn from_stored(stored: &[ragwortroad_log::MemberStart]) -> Self {
        let known = stored
            .iter()
            .map(|known| (MemberId(known.member), known.start));
        let starts: BTreeMap<_, _> = known.collect();
        Self {
            persisted: starts.clone(),
            starts,
        }
    }

    /// Records that `member` has started with number `start`.
    pub(crate) fn observe(&mut self, member: MemberId, start: u64) -> StartOrder {
        let known = self.starts.entry(member).or_insert(start);
        match start.cmp(known) {
            std::cmp::Ordering::Less => StartOrder::Older,
            std::cmp::Ordering::Equal => StartOrder::Same,
            std::cmp::Ordering::Greater => {
                *known = start;
                StartOrder::Newer
            }
        }
    }

    /// Returns the start numbers of `members` to send to `receiver`, without the receiver's own.
    pub(crate) fn starts_for(&self, receiver: MemberId, members: &MemberSet) -> Vec<MemberStart> {
        let mut starts = Vec::new();
        for record in members.records() {
            let member = record.member;
            let known = self.starts.get(&member).filter(|_| member != receiver);
            starts.extend(known.map(|&start| MemberStart { member, start }));
        }
        starts
    }

    /// Returns the latest start number of `member` if it still has to be persisted.
    pub(crate) fn take_unpersisted(&mut self, member: MemberId) -> Option<u64> {
        let start = self.latest(member);
        let previous = self.persisted.insert(member, start);
        (previous != Some(start)).then_some(start)
    }

    /// Returns the latest start number of `member`, or 0 if none is known.
    pub(crate) fn latest(&self, member: MemberId) -> u64 {
        self.starts.get(&member).copied().unwrap_or(0)
    }
}
