use std::collections::BTreeMap;

use ragwortroad_types::ClockTime;

use crate::{
    LogPosition,
    MemberId,
    MemberSet, //
};

/// The check that a restarted member makes before it takes part again.
///
/// Its disk may have gone back to an older state as a whole. It has then forgotten a vote, and
/// could vote twice in one term, or entries that it acknowledged, and could help to elect a leader
/// that lacks them. Nothing on its own disk shows this. It therefore queries the others until every
/// quorum that it may have been part of has a member among those that replied, and derives from the
/// replies the lowest term and log position that it must respect.
#[derive(Debug)]
pub(crate) struct RestartCheck {
    pub(crate) is_done: bool,
    /// Highest term among the replies.
    pub(crate) vote_floor: u64,
    /// Latest log position among the replies; a candidate with an older log gets no vote.
    pub(crate) log_floor: LogPosition,
    /// Last log position of each member that replied.
    replied: BTreeMap<MemberId, LogPosition>,
    /// Last position and member set of the most up-to-date log among the replies and this member's
    /// own.
    ///
    /// A set with a higher index in an older log may never have been committed; members that only
    /// it names could be queried forever.
    members: (LogPosition, MemberSet),
    /// Time at which the query was last sent.
    pub(crate) asked_at: Option<ClockTime>,
}

impl RestartCheck {
    /// Creates a finished check, for a folder that is new or trusted.
    pub(crate) fn skipped() -> Self {
        let mut check = Self::new(LogPosition::default(), MemberSet::default());
        check.is_done = true;
        check
    }

    pub(crate) fn new(last: LogPosition, members: MemberSet) -> Self {
        Self {
            is_done: false,
            vote_floor: 0,
            log_floor: LogPosition::default(),
            replied: BTreeMap::new(),
            members: (last, members),
            asked_at: None,
        }
    }

    /// The members to query.
    pub(crate) fn members(&self) -> &MemberSet {
        &self.members.1
    }

    /// Records the reply of one member.
    pub(crate) fn record_reply(
        &mut self,
        from: MemberId,
        term: u64,
        last: LogPosition,
        members: MemberSet,
    ) {
        self.replied.insert(from, last);
        self.vote_floor = self.vote_floor.max(term);
        if last > self.members.0 {
            self.members = (last, members);
        }
    }

    /// Returns the voters other than `own` that have not replied.
    pub(crate) fn unanswered(&self, own: MemberId) -> Vec<MemberId> {
        let voters = self.members().voters();
        let unanswered = voters.filter(|voter| *voter != own && !self.replied.contains_key(voter));
        unanswered.collect()
    }

    /// Finishes the check.
    ///
    /// Only the logs of voters count: an entry that only a learner has was never committed, and a
    /// learner cannot be elected to replicate it.
    pub(crate) fn finish(&mut self) {
        self.is_done = true;
        let voters = self.members.1.voters();
        let lasts = voters.filter_map(|voter| self.replied.get(&voter));
        self.log_floor = lasts.max().copied().unwrap_or_default();
    }

    /// Whether enough voters other than `own` have replied.
    pub(crate) fn has_enough_replies(&self, own: MemberId) -> bool {
        let members = self.members();
        if members.is_empty() {
            return false;
        }
        let replies = members
            .voters()
            .filter(|voter| *voter != own && self.replied.contains_key(voter));
        replies.count() >= required_replies(members, own)
    }
}

/// Number of voters other than `own` that must reply.
///
/// The group may have grown by one voter since the member set known here, so `own` may have been
/// part of a quorum of a group of `n + 1`, of which one member may be unknown here. The other known
/// members of such a quorum number at least its size minus two. Once fewer voters than that are
/// silent, one of them has replied. A group of one has nobody to query.
fn required_replies(members: &MemberSet, own: MemberId) -> usize {
    let voters = members.voters().count();
    let others = members.voters().filter(|voter| *voter != own).count();
    let next_quorum = voters.div_ceil(2) + 1;
    (voters + 2).saturating_sub(next_quorum).min(others)
}
