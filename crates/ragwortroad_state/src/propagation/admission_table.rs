use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    FollowTiming,
    InForceWait, //
};

/// One run of a node's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeRun {
    /// The node.
    pub node: NodeId,
    /// Differs between runs of its process.
    pub incarnation: u64,
}

/// The leader's account of which nodes may admit work, and under which revision.
///
/// A member that passes admission leases on to other nodes keeps one too: it grants no longer than
/// what is left of its own, and acknowledges a revision to the leader only when it is in force
/// here.
#[derive(Clone, Debug)]
pub struct AdmissionTable {
    timing: FollowTiming,
    /// Until then former leaders' grants may be running that this table does not know.
    former_grants_end: ClockTime,
    /// Invariant: has every grant that may still be running; those below an acknowledged revision
    /// are taken out, since a node never goes back.
    grants: BTreeMap<NodeRun, Vec<AdmissionGrant>>,
    acknowledged: BTreeMap<NodeRun, u64>,
}

#[derive(Clone, Copy, Debug)]
struct AdmissionGrant {
    revision: u64,
    until: ClockTime,
}

impl AdmissionTable {
    /// The table of a leader that applied the first entry of its own term at `now`.
    ///
    /// `longest_grace` is [`FleetState::longest_grace`](crate::FleetState::longest_grace).
    pub fn new(timing: FollowTiming, now: ClockTime, longest_grace: Duration) -> Self {
        Self {
            timing,
            former_grants_end: now.after(timing.new_leader_wait(longest_grace)),
            grants: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// The node has `revision` in force and will never act on an older one in this run.
    pub fn acknowledge(&mut self, run: NodeRun, revision: u64) {
        let known = self.acknowledged.entry(run).or_default();
        *known = revision.max(*known);
        if let Some(grants) = self.grants.get_mut(&run) {
            grants.retain(|grant| grant.revision >= revision);
        }
    }

    /// Grants the node leave to admit work with `revision`, which goes out with the answer.
    ///
    /// The caller is proved to be the leader at `now`, which it read after the question came in.
    /// Returns how long the node may admit by its own clock since it asked.
    pub fn grant(
        &mut self,
        run: NodeRun,
        revision: u64,
        now: ClockTime,
        grace: Duration,
    ) -> Duration {
        let until = now.after(self.timing.leader_grant(grace));
        let grants = self.grants.entry(run).or_default();
        grants.retain(|grant| grant.until > now);
        match grants.iter_mut().find(|grant| grant.revision == revision) {
            Some(grant) => grant.until = grant.until.max(until),
            None => grants.push(AdmissionGrant { revision, until }),
        }
        self.timing.node_lease(grace)
    }

    /// Whether `revision` is in force on every node that may admit work at `now`; otherwise what
    /// it waits for.
    pub fn in_force(&self, revision: u64, now: ClockTime) -> Result<(), InForceWait> {
        let waits = |grants: &Vec<AdmissionGrant>| {
            grants
                .iter()
                .any(|grant| grant.revision < revision && grant.until > now)
        };
        let runs = self.grants.iter().filter(|(_, grants)| waits(grants));
        let mut nodes: Vec<NodeId> = runs.map(|(run, _)| run.node).collect();
        nodes.dedup();
        let former_leases_ms = self.former_grants_end.since(now).as_millis() as u64;
        if nodes.is_empty() && former_leases_ms == 0 {
            return Ok(());
        }
        Err(InForceWait {
            nodes,
            former_leases_ms,
        })
    }

    /// The revision each node has acknowledged, of those that may admit work at `now`.
    pub fn admitting(&self, now: ClockTime) -> impl Iterator<Item = (NodeRun, u64)> {
        let alive =
            move |grants: &Vec<AdmissionGrant>| grants.iter().any(|grant| grant.until > now);
        let runs = self.grants.iter().filter(move |(_, grants)| alive(grants));
        runs.map(|(run, _)| {
            (
                *run,
                self.acknowledged.get(run).copied().unwrap_or_default(),
            )
        })
    }

    /// Forgets runs whose grants are over.
    pub fn prune_expired(&mut self, now: ClockTime) {
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.until > now);
            !grants.is_empty()
        });
        let grants = &self.grants;
        self.acknowledged.retain(|run, _| grants.contains_key(run));
    }
}
