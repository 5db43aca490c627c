//! Tells operators what this registry knows of its group.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    group_status::GroupStatus,
    registry_state::RegistryState, //
};

/// Time between two reports of the group, and time for which it may be without a leader before that
/// is logged.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Time since the last hello of a registry for which it counts as heard of.
const HEARD_WINDOW: Duration = Duration::from_millis(2500);

impl RegistryState {
    /// What this registry knows of its group at `now`.
    pub(crate) fn group_status(&self, now: ClockTime) -> GroupStatus {
        let core = self.driver.core();
        let voters: Vec<MemberId> =
            core.map_or_else(Vec::new, |core| core.members().voters().collect());
        let own = core.map(ConsensusCore::id);
        let is_heard = |voter: &&MemberId| {
            own == Some(**voter)
                || self.peers.values().any(|peer| {
                    let hello = peer.hello.as_ref();
                    hello.is_some_and(|(hello, heard_at)| {
                        hello.member == Some(voter.0) && now.since(*heard_at) < HEARD_WINDOW
                    })
                })
        };
        GroupStatus {
            has_core: core.is_some(),
            member: own.map(|member| member.0),
            term: core.map_or(0, ConsensusCore::term),
            leader: core.and_then(|core| core.leader()).map(|leader| leader.0),
            applied: self.driver.applied(),
            last: core.map_or(0, |core| core.last_position().index),
            voters: voters.len(),
            heard_voters: voters.iter().filter(is_heard).count(),
            needed_voters: self.tolerance.needed_voters(),
        }
    }

    /// Sets the gauges of the group, and logs once a second why there is no leader.
    pub(crate) fn report_group(&mut self, now: ClockTime) {
        if now < self.next_status_at {
            return;
        }
        self.next_status_at = now.after(STATUS_INTERVAL);
        let status = self.group_status(now);
        metrics::gauge!(metric_names::VOTERS).set(status.voters as f64);
        metrics::gauge!(metric_names::VOTERS_HEARD).set(status.heard_voters as f64);
        metrics::gauge!(metric_names::VOTERS_NEEDED).set(status.needed_voters as f64);
        let has_leader = status.leader.is_some();
        metrics::gauge!(metric_names::HAS_LEADER).set(f64::from(u8::from(has_leader)));
        if has_leader {
            self.leaderless_since = None;
            return;
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if now.since(since) >= STATUS_INTERVAL {
            let for_ms = now.since(since).as_millis() as u64;
            tracing::warn!(for_ms, obstacle = status.obstacle(), ?status, "no leader");
        }
    }
}
