use ragwortroad_consensus::prelude::*;
use ragwortroad_types::prelude::*;
use rand::RngExt;

use super::{
    SimEvent,
    SimWorld, //
};

/// A simulated operator that replaces members with lost disks by new identities, and restarts
/// failed processes.
#[derive(Debug, Default)]
pub(crate) struct SimOperator {
    /// The node whose disk is lost as soon as the repair of another one is complete.
    next_loss: Option<usize>,
    /// Consecutive checks that found no leader.
    checks_without_leader: u32,
}

/// The operator checks every 100 ms.
const CHECKS_BEFORE_TRUST: u32 = 30;

impl SimOperator {
    /// The member set, if a leader has committed it.
    pub(crate) fn settled_members(&self, world: &SimWorld) -> Option<MemberSet> {
        let mut cores = world.nodes.iter().filter_map(|node| {
            let now = node.clock.reading(world.now_us);
            node.core().filter(|core| core.accepts_proposals(now))
        });
        let core = cores.find(|core| core.members_index() <= core.commit_index())?;
        Some(core.members().clone())
    }
}

impl SimWorld {
    pub(crate) fn run_operator(&mut self) {
        self.schedule(100_000, SimEvent::RunOperator);
        self.restart_failed();
        for node in &mut self.nodes {
            if node.is_healthy() {
                node.rolled_back_from = None;
            }
        }
        self.restore_backups();
        let Some(leader) = self.acting_node() else {
            return self.trust_disks();
        };
        self.operator.checks_without_leader = 0;
        let Some(members) = self.operator.settled_members(self) else {
            return;
        };
        match self.next_change(&members) {
            Some(change) => {
                let token = self.token();
                self.input(leader, CoreInput::ChangeMember { token, change });
            }
            None => self.lose_next_disk(),
        }
    }

    /// Restarts processes whose disk failed, with the disk working again.
    fn restart_failed(&mut self) {
        for node in 0..self.nodes.len() {
            let has_failed = self.nodes[node]
                .core()
                .is_some_and(ConsensusCore::has_failed);
            if has_failed && self.rng.random_range(0..10) == 0 {
                self.nodes[node].disk.set_capacity(None);
                self.crash(node);
            }
        }
    }

    /// Takes backups of disks, and occasionally restores one.
    fn restore_backups(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        if !self.is_fault_free && self.rng.random_range(0..100) < self.plan.rollback_percent {
            self.roll_back(node);
        }
        if self.rng.random_range(0..20) == 0 {
            self.save_image(node);
        }
    }

    /// Declares the remaining disks trusted if a disk is lost permanently and there is no leader.
    fn trust_disks(&mut self) {
        self.operator.checks_without_leader += 1;
        let is_lost = self.nodes.iter().any(|node| node.lost.is_some());
        if self.operator.checks_without_leader < CHECKS_BEFORE_TRUST || !is_lost {
            return;
        }
        self.operator.checks_without_leader = 0;
        for node in 0..self.nodes.len() {
            let target = &self.nodes[node];
            let is_stuck = target.core().is_some_and(|core| !core.is_verified());
            if is_stuck && target.rolled_back_from.is_none() && !target.is_paused {
                self.counts.trusted += 1;
                self.input(node, CoreInput::TrustDisk);
            }
        }
    }

    pub(crate) fn acting_node(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let now = node.clock.reading(self.now_us);
            !node.is_paused && node.core().is_some_and(|core| core.accepts_proposals(now))
        })
    }

    /// Returns the next change towards one identity per node: add, promote, remove.
    fn next_change(&mut self, members: &MemberSet) -> Option<MemberChange> {
        for (at, node) in self.nodes.iter().enumerate() {
            let Some(member) = node.member else {
                continue;
            };
            let node = NodeId(at as u64);
            match members.find(member) {
                None => return Some(MemberChange::AddLearner { member, node }),
                Some(record) if record.role == MemberRole::Learner => {
                    return Some(MemberChange::Promote { member });
                }
                Some(_) => {}
            }
        }
        let mut nodes = self.nodes.iter_mut().enumerate();
        let (at, target) = nodes.find(|(_, node)| node.lost.is_some() && node.member.is_some())?;
        let member = target.lost?;
        if members.find(member).is_some() {
            return Some(MemberChange::Remove { member });
        }
        target.lost = None;
        self.operator.next_loss = Some((at + 1) % self.nodes.len());
        None
    }

    /// Loses the next disk right after the repair of the last one.
    fn lose_next_disk(&mut self) {
        if let Some(node) = self.operator.next_loss.take()
            && !self.is_fault_free
            && self.rng.random_range(0..2) == 0
        {
            self.lose_disk(node);
        }
    }
}
