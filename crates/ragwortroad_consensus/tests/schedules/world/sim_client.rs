//! Simulated clients, and the check that the group makes progress once all faults are over.

use ragwortroad_consensus::prelude::*;
use rand::RngExt;

use super::{
    SimEvent,
    SimNode,
    SimWorld, //
};

impl SimWorld {
    /// Sends a command or a read to a node, mostly to one that leads.
    pub(crate) fn client_step(&mut self) {
        let interval = self.plan.client_every_ms * 1000;
        let next = self.rng.random_range(0..interval * 2);
        self.schedule(next, SimEvent::Client);
        let leaders: Vec<_> = (0..self.nodes.len())
            .filter(|&node| {
                self.nodes[node]
                    .core()
                    .is_some_and(ConsensusCore::is_leader)
            })
            .collect();
        let at = self.rng.random_range(0..self.nodes.len() * 4);
        let node = leaders
            .get(at % leaders.len().max(1))
            .copied()
            .filter(|_| at > 0)
            .unwrap_or(at % self.nodes.len());
        if self.nodes[node].is_paused {
            return;
        }
        let token = self.token();
        if self.rng.random_range(0..4) == 0 {
            self.read(node, token);
        } else {
            self.propose(node, token);
        }
    }

    pub(crate) fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn read(&mut self, node: usize, token: u64) {
        let expected = self.checker.last_accepted();
        if let Some(process) = &mut self.nodes[node].process {
            process.reads.insert(token, expected);
            self.counts.reads += 1;
            self.input(node, CoreInput::ReadRequest { token });
        }
    }

    pub(crate) fn propose(&mut self, node: usize, token: u64) {
        let mut command = token.to_le_bytes().to_vec();
        command.resize(self.rng.random_range(8..120), 0);
        if let Some(process) = &mut self.nodes[node].process {
            process.commands.insert(token, command.clone());
            self.counts.proposed += 1;
            self.input(node, CoreInput::Propose { token, command });
        }
    }

    /// Checks that the group has a leader again and that every member has all accepted commands.
    pub(crate) fn check_progress(&mut self) {
        let last = self.checker.last_accepted();
        let leader = self.nodes.iter().position(|node| {
            let now = node.clock.reading(self.now_us);
            node.core().is_some_and(|core| core.accepts_proposals(now))
        });
        let Some(leader) = leader else {
            let states: Vec<_> = self.nodes.iter().map(SimNode::describe).collect();
            return self
                .checker
                .record_violation(format!("no leader after all faults were over: {states:#?}"));
        };
        let members = self.nodes[leader].core().map(|core| core.members().clone());
        for record in members.unwrap_or_default().records() {
            let holder = self
                .nodes
                .iter()
                .find(|node| node.member == Some(record.member));
            let commit = holder
                .and_then(SimNode::core)
                .map(ConsensusCore::commit_index);
            if commit.is_none_or(|commit| commit + 40 < last) {
                let member = record.member;
                let states: Vec<_> = self.nodes.iter().map(SimNode::describe).collect();
                self.checker.record_violation(format!(
                    "{member} committed up to {commit:?}, but clients know of {last}: {states:#?}"
                ));
            }
        }
    }
}
