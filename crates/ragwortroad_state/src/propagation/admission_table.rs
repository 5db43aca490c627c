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
    /// The node's identity.
    pub node: NodeId,
    /// Distinguishes the runs of the node's process.
    pub incarnation: u64,
}

/// Tracks on the leader which nodes may admit work, and under which revision.
///
/// A member that passes admission leases on to other nodes keeps a table too. It grants no longer
/// than the rest of its own lease, and acknowledges a revision to the leader only after the
/// revision is in force on these nodes.
#[derive(Clone, Debug)]
pub struct AdmissionTable {
    timing: FollowTiming,
    /// Time until which grants of former leaders, which this table does not know, may be running.
    former_grants_end: ClockTime,
    /// Invariant: has every grant that may still be running. Grants below an acknowledged revision
    /// are removed, since a node never returns to an older one.
    grants: BTreeMap<NodeRun, Vec<AdmissionGrant>>,
    acknowledged: BTreeMap<NodeRun, u64>,
}

#[derive(Clone, Copy, Debug)]
struct AdmissionGrant {
    revision: u64,
    until: ClockTime,
}

impl AdmissionTable {
    /// Creates the table of a leader that applied the first entry of its own term at `now`.
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

    /// Records that the node has `revision` in force and will not use an older one in this run.
    pub fn acknowledge(&mut self, run: NodeRun, revision: u64) {
        let known = self.acknowledged.entry(run).or_default();
        *known = revision.max(*known);
        if let Some(grants) = self.grants.get_mut(&run) {
            grants.retain(|grant| grant.revision >= revision);
        }
    }

    /// Grants the node an admission lease with `revision`, which is sent along with the answer.
    ///
    /// The caller must have proof that it is the leader at `now`, a time read after the node's
    /// request arrived. Returns the lease duration on the node's clock, counted from when the node
    /// sent the request.
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

    /// Returns `Ok` if `revision` is in force on every node that may admit work at `now`, otherwise
    /// what it waits for.
    pub fn in_force(&self, revision: u64, now: ClockTime) -> Result<(), InForceWait> {
        let is_waiting = |grants: &Vec<AdmissionGrant>| {
            grants
                .iter()
                .any(|grant| grant.revision < revision && grant.until > now)
        };
        let runs = self.grants.iter().filter(|(_, grants)| is_waiting(grants));
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

    /// Returns the nodes that may admit work at `now`, each with the revision it acknowledged (0 if
    /// none).
    pub fn admitting(&self, now: ClockTime) -> impl Iterator<Item = (NodeRun, u64)> {
        let is_active =
            move |grants: &Vec<AdmissionGrant>| grants.iter().any(|grant| grant.until > now);
        let runs = self
            .grants
            .iter()
            .filter(move |(_, grants)| is_active(grants));
        runs.map(|(run, _)| {
            (
                *run,
                self.acknowledged.get(run).copied().unwrap_or_default(),
            )
        })
    }

    /// Removes runs whose grants have all expired.
    pub fn prune_expired(&mut self, now: ClockTime) {
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.until > now);
            !grants.is_empty()
        });
        let grants = &self.grants;
        self.acknowledged.retain(|run, _| grants.contains_key(run));
    }
}
