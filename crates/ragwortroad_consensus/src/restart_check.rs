use std::collections::BTreeMap;

use ragwortroad_types::ClockTime;

use crate::{
    LogPosition,
    MemberId,
    MemberSet, //
};

/// What a restarted member finds out before it takes part again.
///
/// Its disk may have gone back to an older state as a whole. Then it has forgotten a vote, and
/// could vote again in the same term; or entries it acknowledged, and could help elect a leader
/// that lacks them. Nothing on its own disk shows that. So it asks the others, until every quorum
/// that it may have been part of has a member among those that answered, and takes from the
/// answers the least that it must respect.
#[derive(Debug)]
pub(crate) struct RestartCheck {
    pub(crate) is_done: bool,
    /// The highest term among the answers.
    pub(crate) vote_floor: u64,
    /// No candidate with an older log gets a vote.
    pub(crate) log_floor: LogPosition,
    /// The last position of the log of each member that answered.
    answered: BTreeMap<MemberId, LogPosition>,
    /// The last position and the members of the newest log among the answers and this member's own.
    ///
    /// A set with a higher index in an older log may never have been accepted; members that it
    /// alone names could be asked for ever.
    members: (LogPosition, MemberSet),
    /// When the question was sent last.
    pub(crate) asked_at: Option<ClockTime>,
}

impl RestartCheck {
    /// A check that is done, for a folder that is new or trusted.
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
            answered: BTreeMap::new(),
            members: (last, members),
            asked_at: None,
        }
    }

    /// The members to ask.
    pub(crate) fn members(&self) -> &MemberSet {
        &self.members.1
    }

    /// Takes in an answer.
    pub(crate) fn record_answer(
        &mut self,
        from: MemberId,
        term: u64,
        last: LogPosition,
        members: MemberSet,
    ) {
        self.answered.insert(from, last);
        self.vote_floor = self.vote_floor.max(term);
        if last > self.members.0 {
            self.members = (last, members);
        }
    }

    /// The voters other than `own` that have not answered.
    pub(crate) fn unanswered(&self, own: MemberId) -> Vec<MemberId> {
        let voters = self.members().voters();
        let unanswered = voters.filter(|voter| *voter != own && !self.answered.contains_key(voter));
        unanswered.collect()
    }

    /// Ends the check.
    ///
    /// Only voters' logs count: what a learner alone has was never accepted, and a learner cannot
    /// be elected to spread it.
    pub(crate) fn finish(&mut self) {
        self.is_done = true;
        let voters = self.members.1.voters();
        let lasts = voters.filter_map(|voter| self.answered.get(&voter));
        self.log_floor = lasts.max().copied().unwrap_or_default();
    }

    /// Whether enough others than `own` have answered.
    pub(crate) fn has_enough_answers(&self, own: MemberId) -> bool {
        let members = self.members();
        if members.is_empty() {
            return false;
        }
        let answers = members
            .voters()
            .filter(|voter| *voter != own && self.answered.contains_key(voter));
        answers.count() >= required_answers(members, own)
    }
}

/// How many voters other than `own` must answer.
///
/// The group may have grown by one voter since the members known here, so `own` may have been part
/// of a quorum of a group of `n + 1`, of which one member may be unknown here. The others of such a
/// quorum that are known number at least two fewer than it; with so many answers that fewer than
/// these are silent, one of them has answered. A group of one has nobody to ask.
fn required_answers(members: &MemberSet, own: MemberId) -> usize {
    let voters = members.voters().count();
    let others = members.voters().filter(|voter| *voter != own).count();
    let next_quorum = voters.div_ceil(2) + 1;
    (voters + 2).saturating_sub(next_quorum).min(others)
}
