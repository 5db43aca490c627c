use ragwortroad_types::NodeId;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ChangeRefusal,
    MemberChange,
    MemberId,
    MemberRecord,
    MemberRole, //
};

/// The members of a group, voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberSet {
    /// Invariant: sorted by identity, without duplicates.
    records: Vec<MemberRecord>,
}

impl MemberSet {
    /// Creates a set of voters, to bootstrap a group.
    pub fn from_voters(voters: impl IntoIterator<Item = (MemberId, NodeId)>) -> Self {
        let role = MemberRole::Voter;
        let mut records: Vec<_> = voters
            .into_iter()
            .map(|(member, node)| MemberRecord { member, node, role })
            .collect();
        records.sort_by_key(|record| record.member);
        records.dedup_by_key(|record| record.member);
        Self { records }
    }

    /// All members, sorted by identity.
    pub fn records(&self) -> &[MemberRecord] {
        &self.records
    }

    /// Whether the set has no members, as on a member that has not heard from a leader yet.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of `member`, or `None` if it is not in the set.
    pub fn find(&self, member: MemberId) -> Option<&MemberRecord> {
        self.records.iter().find(|record| record.member == member)
    }

    /// Whether `member` is in the set and counts in quorums.
    pub fn is_voter(&self, member: MemberId) -> bool {
        self.find(member)
            .is_some_and(|record| record.role == MemberRole::Voter)
    }

    /// The members that count in quorums.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        let voters = self
            .records
            .iter()
            .filter(|record| record.role == MemberRole::Voter);
        voters.map(|record| record.member)
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the largest value that a quorum of voters has reached, where `value` maps each voter
    /// to its own.
    pub(crate) fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied()
    }

    /// Returns the set after `change`.
    pub(crate) fn with_change(&self, change: &MemberChange) -> Result<Self, ChangeRefusal> {
        let mut set = self.clone();
        match *change {
            MemberChange::AddLearner { member, node } => {
                if set.find(member).is_some() {
                    return Err(ChangeRefusal::AlreadyMember);
                }
                let role = MemberRole::Learner;
                set.records.push(MemberRecord { member, node, role });
                set.records.sort_by_key(|record| record.member);
            }
            MemberChange::Promote { member } => {
                let mut records = set.records.iter_mut();
                let record = records.find(|record| record.member == member);
                record.ok_or(ChangeRefusal::NoSuchMember)?.role = MemberRole::Voter;
            }
            MemberChange::Remove { member } => {
                set.find(member).ok_or(ChangeRefusal::NoSuchMember)?;
                set.records.retain(|record| record.member != member);
                if set.voters().next().is_none() {
                    return Err(ChangeRefusal::LastVoter);
                }
            }
        }
        Ok(set)
    }
}
