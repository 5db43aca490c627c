//! Which registries vote as VMs come, go, and lose their disks.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

/// A site: the current members, and the registries known to the leader.
struct Site {
    members: MemberSet,
    holders: Vec<MemberStatus>,
    leader: MemberId,
}

impl Site {
    /// Returns a group bootstrapped by the first three of `count` registries.
    fn bootstrapped(count: u64) -> Self {
        let voters = (1..=3).map(|id| (MemberId(id), NodeId(id)));
        Self {
            members: MemberSet::from_voters(voters),
            holders: (2..=count).map(|id| holder(id, id)).collect(),
            leader: MemberId(1),
        }
    }

    /// Applies membership changes until none is needed; returns them.
    fn settle(&mut self) -> Vec<MemberChange> {
        self.settle_with(&VoterPlan::default())
    }

    fn settle_with(&mut self, plan: &VoterPlan) -> Vec<MemberChange> {
        let mut steps = Vec::new();
        while let Some(step) = plan.next_step(&self.members, self.leader, &self.holders) {
            self.apply(&step);
            steps.push(step);
            assert!(steps.len() < 40, "the plan does not terminate: {steps:?}");
        }
        steps
    }

    fn apply(&mut self, step: &MemberChange) {
        let mut records = self.members.records().to_vec();
        match *step {
            MemberChange::AddLearner { member, node } => records.push(MemberRecord {
                member,
                node,
                role: MemberRole::Learner,
            }),
            MemberChange::Promote { member } => {
                let record = records.iter_mut().find(|record| record.member == member);
                record.expect("a member").role = MemberRole::Voter;
            }
            MemberChange::Remove { member } => {
                assert_ne!(member, self.leader, "the leader stays");
                records.retain(|record| record.member != member);
            }
        }
        let bytes = member_set_of(&records);
        self.members = bytes;
    }

    fn voters(&self) -> Vec<u64> {
        self.members.voters().map(|member| member.0).collect()
    }

    fn holder_mut(&mut self, id: u64) -> &mut MemberStatus {
        let found = self
            .holders
            .iter_mut()
            .find(|holder| holder.member == MemberId(id));
        found.expect("a registry")
    }
}

/// Returns a set with exactly these records, by way of their encoding.
fn member_set_of(records: &[MemberRecord]) -> MemberSet {
    let bytes = postcard::to_stdvec(&(records,)).expect("encodes");
    postcard::from_bytes(&bytes).expect("decodes")
}

fn holder(member: u64, node: u64) -> MemberStatus {
    MemberStatus {
        member: MemberId(member),
        node: NodeId(node),
        silent_for: Duration::ZERO,
        is_caught_up: true,
    }
}

/// Guards against too few or an even number of voters.
#[test]
fn all_registries_of_an_odd_site_vote() {
    let mut site = Site::bootstrapped(5);
    site.settle();
    assert_eq!(site.voters(), [1, 2, 3, 4, 5]);
    site.holders.push(holder(6, 6));
    site.settle();
    assert_eq!(site.voters(), [1, 2, 3, 4, 5]);
    assert!(site.members.find(MemberId(6)).is_some());
}

/// Guards against the former vote of a registry that counts again after its disk was lost.
#[test]
fn a_registry_that_lost_its_disk_votes_again_under_a_new_identity() {
    let mut site = Site::bootstrapped(5);
    site.settle();
    site.holders.retain(|holder| holder.member != MemberId(4));
    site.holders.push(MemberStatus {
        is_caught_up: false,
        ..holder(44, 4)
    });
    let first = VoterPlan::default().next_step(&site.members, site.leader, &site.holders);
    assert_eq!(
        first,
        Some(MemberChange::Remove {
            member: MemberId(4)
        })
    );
    site.settle();
    assert_eq!(site.voters(), [1, 2, 3, 5]);
    site.holder_mut(44).is_caught_up = true;
    site.settle();
    assert_eq!(site.voters(), [1, 2, 3, 5, 44]);
}

/// Guards against voters that are removed without a successor.
#[test]
fn an_absent_voter_is_removed_only_for_a_successor() {
    let mut site = Site::bootstrapped(5);
    site.settle();
    site.holder_mut(3).silent_for = Duration::from_secs(60);
    assert!(site.settle().is_empty());
    site.holders.push(holder(6, 6));
    site.settle();
    assert_eq!(site.voters(), [1, 2, 4, 5, 6]);
}

/// Guards against voters that are replaced at each short absence.
#[test]
fn a_briefly_absent_voter_is_kept() {
    let mut site = Site::bootstrapped(5);
    site.settle();
    site.holders.push(holder(6, 6));
    site.settle();
    site.holder_mut(2).silent_for = Duration::from_secs(2);
    assert!(site.settle().is_empty());
}

/// Guards against a voter that is gone for good and still counts when the next disk may be lost.
#[test]
fn a_voter_that_is_gone_is_replaced_within_the_time_to_catch_up() {
    let mut site = Site::bootstrapped(3);
    site.settle();
    site.holder_mut(2).silent_for = Duration::from_secs(3);
    site.holders.push(holder(4, 4));
    site.settle();
    assert_eq!(site.voters(), [1, 3, 4]);
}

/// Guards against groups that shrink while registries are replaced.
#[test]
fn a_series_of_replacements_keeps_the_number_of_voters() {
    let mut site = Site::bootstrapped(5);
    site.settle();
    for (old, new) in [(2, 12), (3, 13), (4, 14), (5, 15)] {
        site.holder_mut(old).silent_for = Duration::from_secs(60);
        site.holders.push(holder(new, new));
        site.settle();
        site.holders.retain(|holder| holder.member != MemberId(old));
        assert_eq!(site.voters().len(), 5);
    }
    assert_eq!(site.voters(), [1, 12, 13, 14, 15]);
}

/// Guards against a voter that is removed while too few are left to bear another loss.
#[test]
fn a_lost_voter_of_three_is_removed_only_once_its_successor_is_ready() {
    let tolerance = LossTolerance { disks: 1 };
    let plan = VoterPlan {
        settings: VoterSettings {
            tolerance,
            ..VoterSettings::default()
        },
    };
    let mut site = Site::bootstrapped(3);
    site.holders.retain(|holder| holder.member != MemberId(2));
    site.holders.push(MemberStatus {
        is_caught_up: false,
        ..holder(22, 2)
    });
    site.settle_with(&plan);
    assert_eq!(site.voters(), [1, 2, 3]);
    assert!(site.members.find(MemberId(22)).is_some());
    site.holder_mut(22).is_caught_up = true;
    site.settle_with(&plan);
    assert_eq!(site.voters(), [1, 3, 22]);
    assert!(tolerance.is_met_by(&site.members));
}

/// Guards against a group that counts as large enough although the tolerated losses end its quorum.
#[test]
fn a_group_bears_losses_that_leave_a_quorum() {
    for voters in 1..=9 {
        let records = (1..=voters).map(|id| (MemberId(id), NodeId(id)));
        let members = MemberSet::from_voters(records);
        for disks in 0..=4 {
            let left = voters.saturating_sub(disks as u64) as usize;
            let tolerance = LossTolerance { disks };
            let bears = tolerance.is_met_by(&members);
            assert_eq!(
                bears,
                left >= members.quorum(),
                "{voters} voters, {disks} lost"
            );
            assert_eq!(bears, voters as usize >= tolerance.needed_voters());
        }
    }
}
