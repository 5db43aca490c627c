//! Following the configuration, and the leave to admit work with it.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::control_state::ControlState,
    member::member_seat::{
        MemberSeat,
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
    /// Asks whether the configuration here is current, when it is time.
    pub(crate) fn tick_follow(&mut self, now: ClockTime) {
        let every = follow_timing(&self.settings.state).renew_interval();
        if now.since(self.follow.asked) >= every {
            self.ask_current(now);
        }
    }

    /// Asks the leader, or every member where the leader is unknown or silent.
    fn ask_current(&mut self, now: ClockTime) {
        let every = follow_timing(&self.settings.state).renew_interval();
        self.follow.asked = now;
        let ask = self.follow.guard.start_lease_request(now);
        let revision = match self.follow.wants_whole {
            true => 0,
            false => self.follow.config.revision,
        };
        let message = FollowMessage::Confirm {
            ask,
            incarnation: self.incarnation,
            revision,
        };
        let heard_lately = now.since(self.follow.confirmed) <= every * 2;
        let targets = match self.leader().filter(|_| heard_lately) {
            Some(leader) => vec![leader],
            None => self.member_nodes(),
        };
        for target in targets {
            self.send_follow(target, message.clone(), now);
        }
    }

    /// Sends a message, to this very node without a detour.
    pub(crate) fn send_follow(&mut self, to: NodeId, message: FollowMessage, now: ClockTime) {
        if to == self.node {
            return self.take_follow(to, message, now);
        }
        self.send(to, PeerChannel::Follow, encode(&message));
    }

    /// Serves a message between nodes and members.
    pub(crate) fn handle_follow(&mut self, from: NodeId, bytes: &[u8], now: ClockTime) {
        if let Some(message) = decode(bytes) {
            self.take_follow(from, message, now);
        }
    }

    fn take_follow(&mut self, from: NodeId, message: FollowMessage, now: ClockTime) {
        match message {
            FollowMessage::Founding(hello) => self.take_hello(from, hello, now),
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
                self.take_confirmed(from, ask, revision, lease, update, now);
            }
            FollowMessage::Promised {
                ask,
                revision,
                members,
                lease_ms,
            } => {
                let lease = Duration::from_millis(lease_ms.into());
                let members = members.into_iter().collect();
                self.follow
                    .guard
                    .record_promise(ask, from, revision, members, lease);
            }
            FollowMessage::Elsewhere { leader } => self.take_elsewhere(from, leader),
            FollowMessage::Claims { batch, steps } => self.take_claims(from, batch, steps, now),
            FollowMessage::ClaimsDone { batch, outcomes } => {
                self.claims_done(batch, outcomes, now);
            }
            FollowMessage::Line { token, line } => self.take_line(from, token, line, now),
            FollowMessage::LineDone {
                token,
                status,
                body,
            } => self.line_done(from, token, status, body),
            FollowMessage::Enlist { member } => self.enlist(from, member, now),
        }
    }

    /// This member's answer to a node that asks whether it is current.
    fn answer_confirm(
        &mut self,
        run: NodeRun,
        ask: u64,
        revision: u64,
        now: ClockTime,
    ) -> Option<FollowMessage> {
        let leader = self.leader();
        let seat = self.member.as_mut()?;
        if !seat.leads(now) {
            let elsewhere = FollowMessage::Elsewhere {
                leader: leader.filter(|leader| *leader != self.node),
            };
            return Some(promise(seat, ask, revision, now).unwrap_or(elsewhere));
        }
        let config = seat.state.config();
        let current = config.revision;
        let grace = config.quorum_loss.grace();
        let update = (revision != current).then(|| seat.state.config_since(revision));
        let desk = seat.desk.as_mut()?;
        desk.table.acknowledge(run, revision);
        let lease = desk.table.grant(run, current, now, grace);
        Some(FollowMessage::Confirmed {
            ask,
            revision: current,
            lease_ms: u32::try_from(lease.as_millis()).unwrap_or(u32::MAX),
            update,
        })
    }

    /// The leader confirmed, and sent what was missing here.
    fn take_confirmed(
        &mut self,
        from: NodeId,
        ask: u64,
        revision: u64,
        lease: Duration,
        update: Option<ConfigUpdate>,
        now: ClockTime,
    ) {
        self.follow.leader = Some(from);
        self.follow.confirmed = now;
        let has_news = update.is_some();
        if let Some(update) = update {
            if let Err(error) = self.follow.config.apply_update(update) {
                tracing::warn!(%error, "an update of the configuration was not followed");
                self.follow.wants_whole = true;
                return;
            }
            self.follow.wants_whole = false;
            self.adopt_config(now);
        }
        self.follow
            .guard
            .record_adoption(self.follow.config.revision);
        self.follow.guard.record_grant(ask, revision, lease);
        if has_news {
            // The leader counts a change as in force here only once it has heard so.
            self.ask_current(now);
        }
    }

    fn take_elsewhere(&mut self, from: NodeId, leader: Option<NodeId>) {
        if self.follow.leader == Some(from) || leader.is_some() {
            self.follow.leader = leader.filter(|leader| *leader != self.node);
        }
    }

    /// Puts the configuration in force on everything that decides here.
    fn adopt_config(&mut self, now: ClockTime) {
        self.follow.keys = KeyIndex::from(&self.follow.config);
        let config = &self.follow.config;
        let revision = config.revision;
        tracing::info!(revision, "configuration is in force here");
        self.events.note(FleetEvent {
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

    /// Forgets what the last leader was, when another one is known.
    pub(crate) fn leader_moved(&mut self) {
        self.claims.leader_changed();
    }
}

/// A member's promise to a node while there is no leader to ask.
fn promise(
    seat: &mut MemberSeat,
    ask: u64,
    revision: u64,
    now: ClockTime,
) -> Option<FollowMessage> {
    let core = seat.core.as_ref()?;
    let hears_leader = core.leader().is_some();
    // With entries that are not committed the log may hold a change that the state does not show.
    if !seat.is_settled() {
        return None;
    }
    let members = core.members().voters();
    let members: Vec<MemberId> = members.collect();
    let members = members
        .into_iter()
        .filter_map(|member| seat.node_of(member));
    let members: Vec<NodeId> = members.collect();
    let log_revision = seat.state.config().revision;
    let lease = seat
        .promises
        .promise(now, revision, log_revision, hears_leader)?;
    Some(FollowMessage::Promised {
        ask,
        revision,
        members,
        lease_ms: u32::try_from(lease.as_millis()).unwrap_or(u32::MAX),
    })
}
