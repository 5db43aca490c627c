//! Follows the leader's configuration and renews this node's right to admit requests under it.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::control_state::ControlState,
    member::state_replica::{
        StateReplica,
        follow_timing, //
    },
    wire::{
        follow_message::FollowMessage,
        message_codec::{
            decode,
            encode, //
        }, //
    },
};

impl ControlState {
    /// Asks at regular intervals whether the configuration is current.
    pub(crate) fn tick_follow(&mut self, now: ClockTime) {
        let interval = follow_timing(&self.settings.state).renew_interval();
        if now.since(self.follower.last_asked) >= interval {
            self.send_confirm(now);
        }
    }

    /// Asks the leader, or all members if the leader is unknown or unresponsive.
    fn send_confirm(&mut self, now: ClockTime) {
        let interval = follow_timing(&self.settings.state).renew_interval();
        self.follower.last_asked = now;
        let ask = self.follower.guard.start_lease_request(now);
        let revision = match self.follower.needs_full_config {
            true => 0,
            false => self.follower.config.revision,
        };
        let message = FollowMessage::Confirm {
            ask,
            incarnation: self.incarnation,
            revision,
        };
        let confirmed_recently = now.since(self.follower.last_confirmed) <= interval * 2;
        let targets = match self.leader().filter(|_| confirmed_recently) {
            Some(leader) => vec![leader],
            None => self.member_nodes(),
        };
        for target in targets {
            self.send_follow(target, message.clone(), now);
        }
    }

    /// Sends a message; one to this node itself is handled directly.
    pub(crate) fn send_follow(&mut self, to: NodeId, message: FollowMessage, now: ClockTime) {
        if to == self.node {
            return self.dispatch_follow(to, message, now);
        }
        self.send(to, PeerChannel::Follow, encode(&message));
    }

    /// Handles a message between nodes and members.
    pub(crate) fn handle_follow(&mut self, from: NodeId, bytes: &[u8], now: ClockTime) {
        if let Some(message) = decode(bytes) {
            self.dispatch_follow(from, message, now);
        }
    }

    fn dispatch_follow(&mut self, from: NodeId, message: FollowMessage, now: ClockTime) {
        match message {
            FollowMessage::Founding(hello) => self.handle_hello(from, hello, now),
            FollowMessage::Confirm {
                ask,
                incarnation,
                revision,
            } => {
                let run = NodeRun {
                    node: from,
                    incarnation,
                };
                if let Some(answer) = self.answer_confirm(run, ask, revision, now) {
                    self.send_follow(from, answer, now);
                }
            }
            FollowMessage::Confirmed {
                ask,
                revision,
                lease_ms,
                update,
            } => {
                let lease = Duration::from_millis(lease_ms.into());
                self.handle_confirmed(from, ask, revision, lease, update, now);
            }
            FollowMessage::Promised {
                ask,
                revision,
                members,
                lease_ms,
            } => {
                let lease = Duration::from_millis(lease_ms.into());
                let members = members.into_iter().collect();
                self.follower
                    .guard
                    .record_promise(ask, from, revision, members, lease);
            }
            FollowMessage::Elsewhere { leader } => self.handle_elsewhere(from, leader),
            FollowMessage::Claims { batch, steps } => self.handle_claims(from, batch, steps, now),
            FollowMessage::ClaimsDone { batch, outcomes } => {
                self.handle_claim_outcomes(batch, outcomes, now);
            }
            FollowMessage::Line { token, line } => self.handle_line(from, token, line, now),
            FollowMessage::LineDone {
                token,
                status,
                body,
            } => self.handle_line_done(from, token, status, body),
            FollowMessage::Enlist { member } => self.enlist(from, member, now),
        }
    }

    /// Returns this member's answer to a node that asks whether its configuration is current.
    fn answer_confirm(
        &mut self,
        run: NodeRun,
        ask: u64,
        revision: u64,
        now: ClockTime,
    ) -> Option<FollowMessage> {
        let leader = self.leader();
        let replica = self.replica.as_mut()?;
        if !replica.leads(now) {
            let elsewhere = FollowMessage::Elsewhere {
                leader: leader.filter(|leader| *leader != self.node),
            };
            return Some(promise(replica, ask, revision, now).unwrap_or(elsewhere));
        }
        let config = replica.state.config();
        let current = config.revision;
        let grace = config.quorum_loss.grace();
        let update = (revision != current).then(|| replica.state.config_since(revision));
        let context = replica.leader_context.as_mut()?;
        context.table.acknowledge(run, revision);
        let lease = context.table.grant(run, current, now, grace);
        Some(FollowMessage::Confirmed {
            ask,
            revision: current,
            lease_ms: u32::try_from(lease.as_millis()).unwrap_or(u32::MAX),
            update,
        })
    }

    /// Handles the leader's confirmation, with the update that this node lacks.
    fn handle_confirmed(
        &mut self,
        from: NodeId,
        ask: u64,
        revision: u64,
        lease: Duration,
        update: Option<ConfigUpdate>,
        now: ClockTime,
    ) {
        self.follower.leader = Some(from);
        self.follower.last_confirmed = now;
        let has_update = update.is_some();
        if let Some(update) = update {
            if let Err(error) = self.follower.config.apply_update(update) {
                tracing::warn!(%error, "cannot apply a configuration update; requesting the full configuration");
                self.follower.needs_full_config = true;
                return;
            }
            self.follower.needs_full_config = false;
            self.adopt_config(now);
        }
        self.follower
            .guard
            .record_adoption(self.follower.config.revision);
        self.follower.guard.record_grant(ask, revision, lease);
        if has_update {
            // The leader counts a change as in force at this node only after this node has reported
            // it.
            self.send_confirm(now);
        }
    }

    fn handle_elsewhere(&mut self, from: NodeId, leader: Option<NodeId>) {
        if self.follower.leader == Some(from) || leader.is_some() {
            self.follower.leader = leader.filter(|leader| *leader != self.node);
        }
    }

    /// Applies the configuration to the limiter, the route table and the key index.
    fn adopt_config(&mut self, now: ClockTime) {
        self.follower.keys = KeyIndex::from(&self.follower.config);
        let config = &self.follower.config;
        let revision = config.revision;
        tracing::info!(revision, "configuration in force on this node");
        self.events.record(FleetEvent {
            revision: Some(revision),
            ..FleetEvent::new(EventKind::ChangeInForce)
        });
        for (name, entry) in &config.customers {
            let limit = CustomerLimit {
                requests_per_s: entry.limits.requests_per_s.into(),
                tokens_per_s: entry.limits.tokens_per_s.into(),
                concurrent: entry.limits.concurrent,
                priority: entry.limits.priority,
            };
            let key = CustomerKey::from_name(name);
            self.limiter.set_limit(key, limit, now);
        }
        self.route.set_multiple(config.load_multiple());
        self.refresh_nodes(now);
        self.refresh_endpoints(now);
    }

    /// Makes all unanswered claim steps due, so that they go to the new leader.
    pub(crate) fn handle_leader_change(&mut self) {
        self.claims.mark_all_due();
    }
}

/// Returns a member's promise to a node while there is no leader to ask.
fn promise(
    replica: &mut StateReplica,
    ask: u64,
    revision: u64,
    now: ClockTime,
) -> Option<FollowMessage> {
    let core = replica.core.as_ref()?;
    let hears_leader = core.leader().is_some();
    // Uncommitted log entries may hold a change that the state doesn't show yet.
    if !replica.is_settled() {
        return None;
    }
    let members = core.members().voters();
    let members: Vec<MemberId> = members.collect();
    let members = members
        .into_iter()
        .filter_map(|member| replica.node_of(member));
    let members: Vec<NodeId> = members.collect();
    let log_revision = replica.state.config().revision;
    let lease = replica
        .promises
        .promise(now, revision, log_revision, hears_leader)?;
    Some(FollowMessage::Promised {
        ask,
        revision,
        members,
        lease_ms: u32::try_from(lease.as_millis()).unwrap_or(u32::MAX),
    })
}
