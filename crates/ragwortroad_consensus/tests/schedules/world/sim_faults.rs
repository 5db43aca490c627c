//! Injects faults and ends them again.

use rand::RngExt;

use ragwortroad_consensus::prelude::*;

use super::{
    FaultKind,
    SimEvent,
    SimWorld, //
};

impl SimWorld {
    /// Injects one fault of a random kind at a random node.
    pub(crate) fn fault(&mut self) {
        let interval = self.plan.fault_every_ms * 1000;
        let next = self.rng.random_range(0..interval * 2);
        if self.is_fault_free {
            return;
        }
        self.schedule(next, SimEvent::Fault);
        let node = self.rng.random_range(0..self.nodes.len());
        let at = self.rng.random_range(0..self.plan.kinds.len());
        match self.plan.kinds[at] {
            FaultKind::Crash => self.crash(node),
            FaultKind::CrashInWrite => {
                let count = self.rng.random_range(0..10);
                self.nodes[node].disk.stop_after(count);
            }
            FaultKind::PowerCut => self.cut_power(),
            FaultKind::Kill => self.kill(node),
            FaultKind::FailedSync => self.nodes[node].disk.fail_syncs(1),
            FaultKind::FullDisk => self.fill_disk(node),
            FaultKind::Pause => self.pause(node),
            FaultKind::Partition => self.partition(node),
            FaultKind::LostDisk => self.lose_disk(node),
            FaultKind::TransferLeadership => self.transfer_leadership(),
            FaultKind::RemoveMember => self.remove_member(node),
        }
    }

    /// Crashes several machines at once.
    fn cut_power(&mut self) {
        for node in 0..self.nodes.len() {
            if self.rng.random_range(0..4) > 0 {
                self.crash(node);
            }
        }
    }

    /// Crashes the machine; part of the data that was not synced is lost.
    pub(crate) fn crash(&mut self, node: usize) {
        self.counts.crashes += 1;
        let rng = &mut self.rng;
        self.nodes[node]
            .disk
            .crash(|below| rng.random_range(0..below));
        self.nodes[node].boot += 1;
        self.end(node);
    }

    /// Kills the process; the machine keeps running and loses no data.
    fn kill(&mut self, node: usize) {
        self.counts.kills += 1;
        self.end(node);
    }

    /// Crashes the machine, which stays down until it is started.
    pub(crate) fn stop(&mut self, node: usize) {
        let rng = &mut self.rng;
        self.nodes[node]
            .disk
            .crash(|below| rng.random_range(0..below));
        self.nodes[node].boot += 1;
        self.end_process(node);
    }

    fn end_process(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        target.process = None;
        target.epoch += 1;
        target.is_paused = false;
        target.backlog.clear();
    }

    fn end(&mut self, node: usize) {
        self.end_process(node);
        let downtime_us = self.rng.random_range(20_000..2_000_000);
        self.schedule(downtime_us, SimEvent::Start(node));
    }

    fn fill_disk(&mut self, node: usize) {
        let spare_bytes = self.rng.random_range(0..400);
        let disk = &self.nodes[node].disk;
        let used: usize = disk
            .names()
            .iter()
            .filter_map(|name| disk.bytes(name))
            .map(|bytes| bytes.len())
            .sum();
        disk.set_capacity(Some((used + spare_bytes) as u64));
    }

    fn pause(&mut self, node: usize) {
        if self.nodes[node].is_paused || self.nodes[node].process.is_none() {
            return;
        }
        self.counts.pauses += 1;
        self.nodes[node].is_paused = true;
        let epoch = self.nodes[node].epoch;
        let span = self.rng.random_range(50_000..4_000_000);
        self.schedule(span, SimEvent::Resume(node, epoch));
    }

    pub(crate) fn resume_node(&mut self, node: usize, epoch: u64) {
        if self.nodes[node].epoch != epoch {
            return;
        }
        self.nodes[node].is_paused = false;
        for event in std::mem::take(&mut self.nodes[node].backlog) {
            self.schedule(0, event);
        }
    }

    /// Drops messages from a node, to it, or both, with one other node or with all.
    fn partition(&mut self, node: usize) {
        self.counts.partitions += 1;
        let kind = self.rng.random_range(0..4);
        let only = self.rng.random_range(0..self.nodes.len());
        let span = self.rng.random_range(100_000..5_000_000);
        for other in 0..self.nodes.len() {
            if other == node || (kind == 3 && other != only) {
                continue;
            }
            if kind != 1 {
                self.partitions.insert((node, other));
                self.schedule(span, SimEvent::Heal(node, other));
            }
            if kind != 0 {
                self.partitions.insert((other, node));
                self.schedule(span, SimEvent::Heal(other, node));
            }
        }
    }

    /// Whether the group can tolerate the loss of one more disk, because it has recovered from the
    /// last one.
    fn can_lose_disk(&self) -> bool {
        let Some(members) = self.operator.settled_members(self) else {
            return false;
        };
        let is_held = |record: &MemberRecord| {
            let mut nodes = self.nodes.iter();
            nodes.any(|node| node.member == Some(record.member) && node.is_healthy())
        };
        members.voters().count() >= 3 && members.records().iter().all(is_held)
    }

    pub(crate) fn lose_disk(&mut self, node: usize) {
        if !self.can_lose_disk() {
            return;
        }
        self.counts.lost_disks += 1;
        self.end(node);
        let target = &mut self.nodes[node];
        target.boot += 1;
        target.disk.lose();
        target.image = None;
        target.rolled_back_from = None;
        target.lost = target.member.take();
    }

    /// Saves a copy of what the disk would hold after a crash.
    pub(crate) fn save_image(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        if let Some(process) = &target.process {
            let members = process.core.members_index();
            target.image = Some((members, target.disk.image()));
        }
    }

    /// Rolls the whole disk back to an earlier state, as after a restore from a backup.
    pub(crate) fn roll_back(&mut self, node: usize) {
        let image = self.nodes[node].image.clone();
        let members = self.nodes[node].core().map(ConsensusCore::members_index);
        let Some((_, image)) = image.filter(|(index, _)| Some(*index) == members) else {
            return;
        };
        if !self.can_lose_disk() {
            return;
        }
        self.counts.rollbacks += 1;
        let max_commit = self.nodes.iter().filter_map(|node| node.core());
        let max_commit = max_commit.map(ConsensusCore::commit_index).max();
        self.end(node);
        self.nodes[node].boot += 1;
        self.nodes[node].disk.roll_back(&image);
        self.nodes[node].rolled_back_from = max_commit;
    }

    fn remove_member(&mut self, node: usize) {
        let members = self.operator.settled_members(self);
        let member = self.nodes[node].member;
        if let Some(leader) = self.acting_node()
            && let Some(member) = member
            && members.is_some_and(|set| set.voters().count() > 3 && set.is_voter(member))
        {
            let token = self.token();
            let change = MemberChange::Remove { member };
            self.input(leader, CoreInput::ChangeMember { token, change });
        }
    }

    fn transfer_leadership(&mut self) {
        let leader = self
            .nodes
            .iter()
            .position(|node| !node.is_paused && node.core().is_some_and(ConsensusCore::is_leader));
        if let Some(leader) = leader {
            self.counts.handovers += 1;
            self.input(leader, CoreInput::TransferLeadership);
        }
    }

    /// Ends all faults.
    pub(crate) fn end_faults(&mut self) {
        self.is_fault_free = true;
        self.partitions.clear();
        for node in 0..self.nodes.len() {
            let epoch = self.nodes[node].epoch;
            self.nodes[node].disk.set_capacity(None);
            self.nodes[node].disk.fail_syncs(0);
            self.resume_node(node, epoch);
            // A crash that is due later would be a fault beyond the end of all faults.
            if self.nodes[node].disk.is_stopping() {
                self.crash(node);
            }
        }
    }
}
