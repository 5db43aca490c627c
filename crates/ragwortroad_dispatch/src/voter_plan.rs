use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_types::prelude::*;

/// Figures of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterSettings {
    /// Time without a message after which a voter's seat goes to a learner that is ready.
    ///
    /// Longer than a restart and than an election; a voter that is only cut off for that long
    /// becomes a learner when it is back, which costs one change of members and loses nothing.
    pub absence_timeout: Duration,
    /// Most voters; more make each change dearer and add no safety that a site asks for.
    pub max_voters: usize,
}

impl Default for VoterSettings {
    fn default() -> Self {
        Self {
            absence_timeout: Duration::from_secs(5),
            max_voters: 9,
        }
    }
}

/// A registry with a data folder, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Identity of its data folder.
    pub member: MemberId,
    /// The VM's place: a folder that was lost leaves its node with another identity.
    pub node: NodeId,
    /// Time since it was last heard of.
    pub silent_for: Duration,
    /// Whether it has nearly all entries.
    pub is_caught_up: bool,
}

/// Decides which registries vote, one step at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct VoterPlan {
    /// Its figures.
    pub settings: VoterSettings,
}

impl VoterPlan {
    /// The next step, if there is one, given all registries heard of, the leader among them.
    ///
    /// Every registry that is heard of becomes a learner. A voter whose node has come back with
    /// another identity has lost its disk: it must not count any more, and goes first. A voter that
    /// is silent for too long gives its seat to a learner that is ready. Otherwise learners are
    /// promoted in pairs, so that the number of voters stays odd: a group of four stands no more
    /// losses than one of three, and a halved site of four leaves no majority.
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
            let newer = |holder: &&MemberStatus| {
                holder.node == record.node
                    && holder.member != record.member
                    && members.find(holder.member).is_none()
            };
            let heard = |holder: &MemberStatus| {
                holder.member == record.member && holder.silent_for < self.settings.absence_timeout
            };
            record.member != leader
                && holders.iter().any(|holder| newer(&holder))
                && !holders.iter().any(heard)
        };
        let record = members.records().iter().find(is_replaced)?;
        let member = record.member;
        Some(MemberChange::Remove { member })
    }

    fn add_learner(&self, members: &MemberSet, holders: &[MemberStatus]) -> Option<MemberChange> {
        let present = |holder: &&MemberStatus| holder.silent_for < self.settings.absence_timeout;
        let unknown = |holder: &&MemberStatus| members.find(holder.member).is_none();
        let holder = holders.iter().filter(present).find(unknown)?;
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
        let learners = members.records().iter();
        let learners = learners.filter(|record| record.role == MemberRole::Learner);
        let mut ready = learners.filter(|record| {
            find(record.member).is_some_and(|holder| holder.is_caught_up && self.hears(holder))
        });
        let heir = ready.next()?.member;
        let has_second = ready.next().is_some();
        let is_absent = |voter: &MemberId| {
            *voter != leader && !find(*voter).is_some_and(|holder| self.hears(holder))
        };
        let voters = members.voters().count();
        if let Some(member) = members.voters().find(is_absent) {
            // With an even number the promotion comes first: the seat is not missed meanwhile.
            return Some(match voters % 2 {
                0 => MemberChange::Promote { member: heir },
                _ => MemberChange::Remove { member },
            });
        }
        let fits = voters < self.settings.max_voters;
        let stays_odd = voters.is_multiple_of(2) || has_second;
        (fits && stays_odd).then_some(MemberChange::Promote { member: heir })
    }

    fn hears(&self, holder: &MemberStatus) -> bool {
        holder.silent_for < self.settings.absence_timeout
    }
}
