use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_types::prelude::*;

use crate::LossTolerance;

/// Parameters of a [`VoterPlan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterSettings {
    /// Time without a message after which a voter is replaced by a learner that is ready.
    ///
    /// Longer than a restart and than an election, and short enough that the change is made before
    /// another disk may be lost. A voter that is only partitioned for longer becomes a learner when
    /// it is back, which costs one membership change and loses nothing.
    pub absence_timeout: Duration,
    /// Largest number of voters. More voters make each change more expensive and add no fault
    /// tolerance that a site asks for.
    pub max_voters: usize,
    /// Losses that the group must bear; a voter without a disk is removed before its successor is
    /// ready only if they are still borne then.
    pub tolerance: LossTolerance,
}

impl Default for VoterSettings {
    fn default() -> Self {
        Self {
            absence_timeout: Duration::from_secs(3),
            max_voters: 9,
            tolerance: LossTolerance::default(),
        }
    }
}

/// State of a registry with a data folder, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Identity of the data folder.
    pub member: MemberId,
    /// Identity of the VM, derived from its address. A node that has lost its data folder comes
    /// back with another member identity.
    pub node: NodeId,
    /// Time since the last message from it, or since the leader's process started if there was none.
    pub silent_for: Duration,
    /// Whether it has nearly all log entries.
    pub is_caught_up: bool,
}

/// Plans which registries vote, one membership change at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct VoterPlan {
    /// Parameters of the plan.
    pub settings: VoterSettings,
}

impl VoterPlan {
    /// Returns the next membership change, or `None` if none is needed. `holders` are the
    /// registries that the leader has heard from, by their latest identity, and the members that it
    /// has not heard from yet; the leader itself may be omitted.
    ///
    /// Every reachable registry becomes a learner. A voter whose node has come back with another
    /// identity has lost its disk, so it must no longer count. It is removed first if the group
    /// bears the tolerated losses without it, and otherwise when a learner is ready to follow it. A
    /// voter that has been silent for too long is replaced by a learner that is ready. Otherwise learners are
    /// promoted in pairs, so that the number of voters stays odd: a group of four tolerates no more
    /// failures than one of three, and a partition into halves leaves it without a majority.
    pub fn next_step(
        &self,
        members: &MemberSet,
        leader: MemberId,
        holders: &[MemberStatus],
    ) -> Option<MemberChange> {
        self.remove_replaced(members, leader, holders)
            .or_else(|| self.add_learner(members, holders))
            .or_else(|| self.fill_seats(members, leader, holders))
    }

    fn remove_replaced(
        &self,
        members: &MemberSet,
        leader: MemberId,
        holders: &[MemberStatus],
    ) -> Option<MemberChange> {
        let is_replaced = |record: &&MemberRecord| {
            let is_newer = |holder: &MemberStatus| {
                holder.node == record.node && holder.member != record.member
            };
            let is_heard =
                |holder: &MemberStatus| holder.member == record.member && self.is_present(holder);
            record.member != leader && holders.iter().any(is_newer) && !holders.iter().any(is_heard)
        };
        let record = members.records().iter().find(is_replaced)?;
        let member = record.member;
        let voters = members.voters().count();
        let is_borne = record.role == MemberRole::Learner || self.bears_losses(voters - 1);
        let may_go = is_borne || self.ready_learners(members, holders).next().is_some();
        may_go.then_some(MemberChange::Remove { member })
    }

    fn bears_losses(&self, voters: usize) -> bool {
        voters >= self.settings.tolerance.needed_voters()
    }

    /// Learners that may be promoted.
    fn ready_learners<'a>(
        &'a self,
        members: &'a MemberSet,
        holders: &'a [MemberStatus],
    ) -> impl Iterator<Item = MemberId> + 'a {
        let is_ready = move |record: &&MemberRecord| {
            let holder = holders.iter().find(|holder| holder.member == record.member);
            record.role == MemberRole::Learner
                && holder.is_some_and(|holder| holder.is_caught_up && self.is_present(holder))
        };
        let ready = members.records().iter().filter(is_ready);
        ready.map(|record| record.member)
    }

    fn add_learner(&self, members: &MemberSet, holders: &[MemberStatus]) -> Option<MemberChange> {
        let is_new = |holder: &&MemberStatus| {
            self.is_present(holder) && members.find(holder.member).is_none()
        };
        let holder = holders.iter().find(is_new)?;
        Some(MemberChange::AddLearner {
            member: holder.member,
            node: holder.node,
        })
    }

    fn fill_seats(
        &self,
        members: &MemberSet,
        leader: MemberId,
        holders: &[MemberStatus],
    ) -> Option<MemberChange> {
        let find = |member| holders.iter().find(|holder| holder.member == member);
        let mut ready = self.ready_learners(members, holders);
        let successor = ready.next()?;
        let has_second = ready.next().is_some();
        let is_absent = |voter: &MemberId| {
            *voter != leader && !find(*voter).is_some_and(|holder| self.is_present(holder))
        };
        let voters = members.voters().count();
        if let Some(member) = members.voters().find(is_absent) {
            // With an even number of voters the promotion comes first, so that the group does not
            // shrink in between.
            return Some(match voters % 2 {
                0 => MemberChange::Promote { member: successor },
                _ => MemberChange::Remove { member },
            });
        }
        let fits = voters < self.settings.max_voters;
        let stays_odd = voters.is_multiple_of(2) || has_second;
        (fits && stays_odd).then_some(MemberChange::Promote { member: successor })
    }

    fn is_present(&self, holder: &MemberStatus) -> bool {
        holder.silent_for < self.settings.absence_timeout
    }
}
