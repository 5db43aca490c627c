//! Faults of the simulated registries.

use ragwortroad_consensus::prelude::*;
use rand::RngExt;

use crate::group_world::GroupWorld;

/// Time in which something that a fault waits for usually happens.
const WAIT_MS: u64 = 8000;

/// A sequence of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupFault {
    /// All lose power at an acknowledgement.
    PowerLoss,
    /// The same, and some lose power once more soon after they are back.
    SecondRestart,
    /// All lose power while some have a change of members and others do not.
    MemberChange,
    /// All lose power while they elect a leader.
    Election,
    /// All lose power while they recall their logs.
    Recall,
    /// Machines are removed for good, and followed by others at new addresses.
    Replaced,
    /// Disks are lost one after the other, each as early as may be.
    DiskSeries,
    /// The leader loses its disk.
    WipedLeader,
    /// The group is cut into halves.
    Cut,
}

impl GroupFault {
    pub(crate) const ALL: [Self; 9] = [
        Self::PowerLoss,
        Self::SecondRestart,
        Self::MemberChange,
        Self::Election,
        Self::Recall,
        Self::Replaced,
        Self::DiskSeries,
        Self::WipedLeader,
        Self::Cut,
    ];
}

impl GroupWorld {
    pub(crate) fn inject(&mut self, fault: GroupFault) {
        match fault {
            GroupFault::PowerLoss => self.lose_power_at_acknowledgement(),
            GroupFault::SecondRestart => self.restart_twice(),
            GroupFault::MemberChange => self.lose_power_in_member_change(),
            GroupFault::Election => self.lose_power_in_election(),
            GroupFault::Recall => self.lose_power_in_recall(),
            GroupFault::Replaced => self.replace_some(),
            GroupFault::DiskSeries => self.lose_disks_in_series(),
            GroupFault::WipedLeader => self.wipe_leader(),
            GroupFault::Cut => self.cut_into_halves(),
        }
    }

    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.draw(0..100) < percent
    }

    /// Registries that run, in random order.
    fn shuffled(&mut self) -> Vec<usize> {
        let mut order = self.present();
        order.retain(|&node| self.is_up(node));
        for at in (1..order.len()).rev() {
            let other = self.draw(0..at as u64 + 1) as usize;
            order.swap(at, other);
        }
        order
    }

    /// Registries whose disks would hurt most, first: the seeds, those that acknowledged, or any.
    fn victims(&mut self) -> Vec<usize> {
        let kind = self.draw(0..5);
        let acknowledged_by = self.acknowledged_by;
        let leader = self.leader();
        let seeds = self.seeds.clone();
        let mut order = self.shuffled();
        order.sort_by_key(|&node| match kind {
            0 | 1 => !seeds.contains(&node),
            2 => node != acknowledged_by,
            3 => Some(node) != leader,
            _ => false,
        });
        order
    }

    /// All lose power, and as many disks are lost as may be; all start again.
    fn lose_all_power(&mut self) {
        let victims = self.victims();
        let mut wiped = Vec::new();
        for &node in &victims {
            if self.lose_disk(node) {
                wiped.push(node);
            } else {
                self.cut_power(node);
            }
        }
        let late = if self.chance(50) { 160 } else { 2000 };
        for node in victims {
            let limit = if wiped.contains(&node) { late } else { 160 };
            let delay = 40 + self.draw(0..limit);
            self.start_after(node, delay);
        }
    }

    fn lose_power_at_acknowledgement(&mut self) {
        if self.acknowledged_at_ms < self.now_ms {
            self.run_until_acknowledged(WAIT_MS);
        }
        self.lose_all_power();
    }

    fn restart_twice(&mut self) {
        self.lose_power_at_acknowledgement();
        let delay = 200 + self.draw(100..1000);
        self.run_for(delay);
        let lost: Vec<usize> = self.lost_nodes();
        for node in self.shuffled() {
            if lost.contains(&node) || self.chance(33) {
                self.cut_power(node);
                let delay = 40 + self.draw(0..160);
                self.start_after(node, delay);
            }
        }
    }

    fn lost_nodes(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        let lost = nodes.filter(|(_, node)| node.lost_until > self.now_ms);
        lost.map(|(index, _)| index).collect()
    }

    fn lose_power_in_member_change(&mut self) {
        if self.is_full()
            && let Some(&node) = self.victims().first()
        {
            self.lose_and_restart(node);
        }
        let skipped = self.draw(0..4);
        for _ in 0..=skipped {
            self.run_until(WAIT_MS, Self::agrees_on_members);
            self.run_until(WAIT_MS, |world| !world.agrees_on_members());
        }
        self.lose_all_power();
    }

    fn agrees_on_members(&self) -> bool {
        let indexes = (0..self.nodes.len()).filter_map(|node| self.core(node));
        let mut indexes = indexes.map(ConsensusCore::members_index);
        let first = indexes.next();
        indexes.all(|index| Some(index) == first)
    }

    fn lose_power_in_election(&mut self) {
        if let Some(leader) = self.leader() {
            self.cut_power(leader);
            let delay = self.draw(50..3000);
            self.start_after(leader, delay);
        }
        let is_electing = |world: &Self| {
            let mut cores = (0..world.nodes.len()).filter_map(|node| world.core(node));
            cores.any(|core| core.leader().is_none())
        };
        self.run_until(WAIT_MS, is_electing);
        let delay = self.draw(0..400);
        self.run_for(delay);
        self.lose_all_power();
    }

    fn lose_power_in_recall(&mut self) {
        self.lose_power_at_acknowledgement();
        let recalls = |world: &Self| {
            let mut cores = (0..world.nodes.len()).filter_map(|node| world.core(node));
            cores.any(|core| core.recalled_index().is_some())
        };
        self.run_until(1500, recalls);
        let delay = self.draw(0..60);
        self.run_for(delay);
        self.lose_all_power();
    }

    fn replace_some(&mut self) {
        let count = 1 + self.draw(0..2) as usize;
        for node in self.victims().into_iter().take(count) {
            let delay = self.draw(200..3000);
            self.replace_machine(node, delay);
            let pause = self.draw(0..1000);
            self.run_for(pause);
        }
        if self.chance(60) {
            let delay = self.draw(0..7000);
            self.run_for(delay);
            self.lose_all_power();
        }
    }

    fn lose_and_restart(&mut self, node: usize) {
        if self.lose_disk(node) {
            let delay = self.draw(20..2000);
            self.start_after(node, delay);
        }
    }

    fn lose_disks_in_series(&mut self) {
        let count = self.draw(3..7);
        for _ in 0..count {
            let limit = self.plan.lost_disks;
            self.run_until(60_000, |world| world.lost_count() < limit);
            let lost = self.lost_nodes();
            let next = self.victims().into_iter().find(|node| !lost.contains(node));
            if let Some(node) = next {
                self.lose_and_restart(node);
            }
        }
        if self.chance(50) {
            self.lose_power_at_acknowledgement();
        }
    }

    fn wipe_leader(&mut self) {
        let leaders: Vec<usize> = self.leader().into_iter().collect();
        let others = self.shuffled();
        let count = 1 + self.draw(0..2) as usize;
        for node in leaders.into_iter().chain(others).take(count) {
            self.lose_and_restart(node);
        }
        if self.chance(40) {
            let delay = self.draw(0..3000);
            self.run_for(delay);
            self.lose_power_at_acknowledgement();
        }
    }

    fn cut_into_halves(&mut self) {
        let order = self.shuffled();
        let side = order[..order.len() / 2].iter().copied().collect();
        self.cut_off(side);
        let span = self.draw(1000..9000);
        self.run_for(span);
        match self.draw(0..3) {
            0 => {
                self.lose_all_power();
                self.run_for(span / 2);
                self.heal();
            }
            1 => {
                self.heal();
                self.lose_all_power();
            }
            _ => self.heal(),
        }
    }
}
