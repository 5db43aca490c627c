//! Invariants of a simulated fleet.

use ragwortroad_membership::prelude::*;
use ragwortroad_types::prelude::*;

use super::FakeFleet;

impl FakeFleet {
    /// Checks that at most one node may currently admit work to an endpoint, each node by its own
    /// clock.
    pub(crate) fn check_home(&mut self, endpoint: usize) {
        if !self.verify_homes {
            return;
        }
        let id = self.endpoints[endpoint].id();
        self.findings.home_checks += 1;
        let mut holders = Vec::new();
        for node in &self.nodes {
            let clock = node.clock(self.now);
            let Some(table) = &node.table else {
                continue;
            };
            if table.home_state(id, clock).admits_at(clock) {
                let incarnation = table.endpoint(id).map_or(0, |record| record.incarnation);
                holders.push((incarnation, node.index));
            }
        }
        holders.sort_unstable();
        for pair in holders.windows(2) {
            if pair[0].0 == pair[1].0 {
                let violation =
                    format!("{} ms: endpoint {endpoint} at nodes {holders:?}", self.now);
                self.findings.double_homes.push(violation);
            }
        }
    }

    pub(crate) fn check_homes(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            self.check_home(endpoint);
        }
    }

    /// Advances the time in small steps and checks all homes after each.
    pub(crate) fn run_checked(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.run((end - self.now).min(50));
            self.check_homes();
        }
    }

    /// Iterates over the tables of running nodes.
    pub(crate) fn tables(&self) -> impl Iterator<Item = &MembershipTable> {
        self.nodes.iter().filter_map(|node| node.table.as_ref())
    }

    /// Returns why the views are not all equal and correct, or nothing if they are.
    pub(crate) fn disagreement(&self) -> Option<String> {
        let up: Vec<NodeId> = self.tables().map(MembershipTable::own_id).collect();
        let first = self.tables().next()?.view_hash();
        for table in self.tables() {
            let own = table.own_id();
            if table.view_hash() != first {
                return Some(format!("{own} has a different view"));
            }
            let live: Vec<NodeId> = table.live_nodes().map(|(id, _)| id).collect();
            if let Some(id) = up.iter().find(|id| !live.contains(id)) {
                return Some(format!("{own} does not list node {id} as live"));
            }
            if live.len() != up.len() {
                return Some(format!(
                    "{own} considers {} of {} nodes live",
                    live.len(),
                    up.len()
                ));
            }
            for endpoint in &self.endpoints {
                let available = table.is_available(endpoint.id());
                if available != (endpoint.up && !endpoint.leaving) {
                    return Some(format!(
                        "{own} considers {} available: {available}",
                        endpoint.name
                    ));
                }
            }
        }
        for endpoint in self.endpoints.iter().filter(|candidate| candidate.up) {
            let holders = self.nodes.iter().filter(|node| {
                let clock = node.clock(self.now);
                let state = node
                    .table
                    .as_ref()
                    .map(|table| table.home_state(endpoint.id(), clock));
                state.is_some_and(|state| state.admits_at(clock))
            });
            let count = holders.count();
            if count != 1 {
                return Some(format!("{} has {count} homes", endpoint.name));
            }
        }
        None
    }

    /// Runs until all views are equal and correct, and returns the milliseconds it took.
    pub(crate) fn run_until_converged(&mut self, timeout_ms: u64) -> u64 {
        let start = self.now;
        loop {
            let Some(reason) = self.disagreement() else {
                return self.now - start;
            };
            assert!(
                self.now - start < timeout_ms,
                "views have not converged after {timeout_ms} ms: {reason}"
            );
            self.run(250);
        }
    }
}
