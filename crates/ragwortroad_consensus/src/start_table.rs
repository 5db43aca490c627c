use std::collections::BTreeMap;

use crate::{
    MemberId,
    MemberSet,
    MemberStart, //
};

/// The latest start of each member that this one knows of.
///
/// A member that restarts may have lost, with a rolled-back disk, what it acknowledged before. It
/// asks enough others what they know before it takes part again. What could still go wrong is an
/// acknowledgement from before its restart, counted by a leader together with one that another
/// member gives after it told the restarted one that there is nothing. So every vote and
/// acknowledgement carries this table, and whoever counts them drops those of an older start.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartTable {
    starts: BTreeMap<MemberId, u64>,
    /// The starts that are on the disk, or on their way to it.
    persisted: BTreeMap<MemberId, u64>,
}

/// What a start number says about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOrder {
    /// Known already.
    Same,
    /// The member has restarted.
    Newer,
    /// It comes from before the latest start.
    Older,
}

impl StartTable {
    /// The table with what was told to others before this member's own restart.
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

    /// Takes note that `member` has had a start `start`.
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

    /// The starts of `members` as they go into messages to `receiver`, which knows its own.
    pub(crate) fn starts_for(&self, receiver: MemberId, members: &MemberSet) -> Vec<MemberStart> {
        let mut starts = Vec::new();
        for record in members.records() {
            let member = record.member;
            let known = self.starts.get(&member).filter(|_| member != receiver);
            starts.extend(known.map(|&start| MemberStart { member, start }));
        }
        starts
    }

    /// The latest start of `member`, if it is still to be persisted.
    pub(crate) fn take_unpersisted(&mut self, member: MemberId) -> Option<u64> {
        let start = self.latest(member);
        let before = self.persisted.insert(member, start);
        (before != Some(start)).then_some(start)
    }

    /// The latest start of `member`, if any is known.
    pub(crate) fn latest(&self, member: MemberId) -> u64 {
        self.starts.get(&member).copied().unwrap_or(0)
    }
}
