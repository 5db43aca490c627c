use std::collections::BTreeSet;

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
    /// No vote is given in terms up to here, but for the one on the disk.
    pub(crate) vote_floor: u64,
    /// No candidate with an older log gets a vote.
    pub(crate) log_floor: LogPosition,
    answered: BTreeSet<MemberId>,
    /// The newest member set among the answers and this member's own.
    members: (u64, MemberSet),
    /// When the question was sent last.
    pub(crate) asked_at: Option<ClockTime>,
}

impl RestartCheck {
    /// A check that is done, for a folder that is new or trusted.
    pub(crate) fn skipped() -> Self {
        let mut check = Self::new(0, MemberSet::default());
        check.is_done = true;
        check
    }

    pub(crate) fn new(members_index: u64, members: MemberSet) -> Self {
        Self {
            is_done: false,
            vote_floor: 0,
            log_floor: LogPosition::default(),
            answered: BTreeSet::new(),
            members: (members_index, members),
            asked_at: None,
        }
    }

    /// The members to ask.
    pub(crate) fn members(&self) -> &MemberSet {
        &self.members.1
    }

    /// Takes in an answer.
    pub(crate) fn answer(
        &mut self,
        from: MemberId,
        term: u64,
        last: LogPosition,
        members: (u64, MemberSet),
    ) {
        self.answered.insert(from);
        self.vote_floor = self.vote_floor.max(term);
        self.log_floor = self.log_floor.max(last);
        if members.0 > self.members.0 {
            self.members = members;
        }
    }

    /// Whether enough others than `own` have answered.
    pub(crate) fn has_enough(&self, own: MemberId) -> bool {
        let members = self.members();
        if members.is_empty() {
            return false;
        }
        let answers = members
            .voters()
            .filter(|voter| *voter != own && self.answered.contains(voter));
        answers.count() >= answers_needed(members, own)
    }
}

/// How many voters other than `own` must answer.
///
/// A quorum of `q` among `n` that includes `own` has `q - 1` others, so any `n - q + 1` others
/// include one of them. With an even `n`, a quorum of the next larger group may have only `q - 1`
/// of the members known here, so all others are asked. A group of one has nobody to ask.
fn answers_needed(members: &MemberSet, own: MemberId) -> usize {
    let voters = members.voters().count();
    let others = members.voters().filter(|voter| *voter != own).count();
    match voters {
        0 | 1 => others,
        even if even % 2 == 0 => others,
        odd => odd - members.quorum() + 1,
    }
}
