//! What the leader does beside serving others.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_language::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::{
        control_state::ControlState,
        order_flow::order_settings, //
    },
    member::{
        leader_desk::{
            ForceWatch,
            LeaderDesk, //
        },
        member_seat::{
            follow_timing,
            order_timing, //
        },
        proposal_kind::{
            LineOrigin,
            ProposalKind, //
        }, //
    },
    order::order_worker::OrderWorker,
};

/// Time between two commands that only move the state's clock on, so that claims expire.
const CLOCK_EVERY: Duration = Duration::from_secs(10);

/// How long an operator waits for a change to be in force before being told what it waits for.
const FORCE_PATIENCE: Duration = Duration::from_secs(15);

impl ControlState {
    /// Takes up the lead, does its duties, or lays it down.
    pub(crate) fn tick_leader(&mut self, now: ClockTime) {
        let timing = follow_timing(&self.settings.state);
        let Some(seat) = &mut self.member else {
            return;
        };
        let Some(core) = &seat.core else {
            return;
        };
        match (core.is_leader(), seat.desk.is_some()) {
            (true, false) if core.may_act_as_leader(now) => {
                seat.desk = Some(LeaderDesk::new(&seat.state, timing, now));
                tracing::info!(term = core.term(), "this node leads");
                self.note_lead(EventKind::LeaderElected, None);
                self.lose_absent_nodes();
                let action = StateAction::TakeOrders { holder: self.node };
                self.propose(action, ProposalKind::TakeOrders, now);
            }
            (false, true) => self.lay_down(),
            (true, true) if seat.leads(now) => self.lead(now),
            _ => {}
        }
    }

    /// Gives up the claims of nodes that are down as the lead begins.
    ///
    /// A node that died under no leader was missed by nobody who could say so in the log. Its keys
    /// would be "in progress" for ten minutes, and callers would wait for an attempt that is over.
    fn lose_absent_nodes(&mut self) {
        let nodes = self.membership.nodes();
        let down = nodes.filter(|(_, record)| !record.state.is_present());
        let down: Vec<NodeId> = down.map(|(node, _)| node).collect();
        for node in down {
            self.claims.settle(ClaimStep::NodeLost { node });
        }
    }

    /// Proposes a command to the log.
    pub(crate) fn propose(&mut self, action: StateAction, kind: ProposalKind, now: ClockTime) {
        let wall_ms = self.clock.wall_ms();
        if let Some(seat) = &mut self.member {
            let actions = seat.propose(action, kind, wall_ms, now);
            self.do_core(actions, now);
        }
    }

    /// Ends the lead here. Operators who wait are told to send their change again: the next
    /// leader knows its outcome by its id.
    fn lay_down(&mut self) {
        let Some(desk) = self.member.as_mut().and_then(|seat| seat.desk.take()) else {
            return;
        };
        tracing::info!("this node no longer leads");
        self.note_lead(EventKind::LeaderDeposed, None);
        if let Some(gate) = desk.gate {
            self.note_lead(EventKind::LeaseEnded, Some(gate.fence()));
        }
        let forced = desk.forced.into_iter().map(|watch| watch.origin);
        let held = desk.held.into_iter().map(|(_, origin)| origin);
        for origin in forced.chain(held) {
            let text = "not known: the lead changed; send the change again with the same id";
            let facts = serde_json::json!({ "outcome": "unknown" });
            self.answer_line(origin, 503, text, facts);
        }
    }

    fn lead(&mut self, now: ClockTime) {
        let Some(desk) = self.member.as_mut().and_then(|seat| seat.desk.as_mut()) else {
            return;
        };
        desk.table.prune_expired(now);
        if now.since(desk.ticked) >= CLOCK_EVERY {
            desk.ticked = now;
            self.propose(StateAction::Tick, ProposalKind::Tick, now);
        }
        self.release_held(now);
        self.watch_forced(now);
        self.promote_learners(now);
    }

    /// Proposes a change, or holds it while this member's promises run.
    pub(crate) fn propose_change(
        &mut self,
        command: ChangeCommand,
        origin: LineOrigin,
        now: ClockTime,
    ) {
        let Some(seat) = &mut self.member else {
            return;
        };
        let may_write = seat.promises.may_write(now).is_ok();
        match &mut seat.desk {
            Some(desk) if !may_write => desk.held.push((command, origin)),
            _ => {
                let action = StateAction::Change(command);
                self.propose(action, ProposalKind::Change(origin), now);
            }
        }
    }

    fn release_held(&mut self, now: ClockTime) {
        let Some(seat) = &mut self.member else {
            return;
        };
        if seat.promises.may_write(now).is_err() {
            return;
        }
        let held = seat
            .desk
            .as_mut()
            .map(|desk| std::mem::take(&mut desk.held));
        for (command, origin) in held.unwrap_or_default() {
            self.propose_change(command, origin, now);
        }
    }

    /// A change was decided: refused at once, accepted once it is in force.
    pub(crate) fn change_decided(
        &mut self,
        origin: LineOrigin,
        outcome: ChangeOutcome,
        now: ClockTime,
    ) {
        match outcome {
            ChangeOutcome::Accepted { revision } => {
                tracing::info!(revision, "change accepted");
                self.note_revision(EventKind::ChangeAccepted, revision, String::new());
                self.follow_members(revision, now);
                self.watch_change(revision, origin, now);
            }
            refused => {
                let revision = self.follow.config.revision;
                let detail = outcome_text(&refused);
                self.note_revision(EventKind::ChangeRefused, revision, detail);
                self.answer_refused(origin, &refused);
            }
        }
    }

    /// Tells an operator when an accepted change is in force everywhere.
    pub(crate) fn watch_change(&mut self, revision: u64, origin: LineOrigin, now: ClockTime) {
        let desk = self.member.as_mut().and_then(|seat| seat.desk.as_mut());
        if let Some(desk) = desk {
            desk.forced.push(ForceWatch {
                revision,
                origin,
                until: now.after(FORCE_PATIENCE),
            });
        }
        self.watch_forced(now);
    }

    /// Answers operators whose changes are in force, or who have waited long enough.
    fn watch_forced(&mut self, now: ClockTime) {
        let Some(desk) = self.member.as_mut().and_then(|seat| seat.desk.as_mut()) else {
            return;
        };
        let mut done = Vec::new();
        for watch in std::mem::take(&mut desk.forced) {
            match desk.table.in_force(watch.revision, now) {
                Err(_) if now < watch.until => desk.forced.push(watch),
                result => done.push((watch, result)),
            }
        }
        for (watch, result) in done {
            self.answer_forced(watch, result);
        }
    }

    fn answer_forced(&mut self, watch: ForceWatch, result: Result<(), InForceWait>) {
        let revision = watch.revision;
        match result {
            Ok(()) => {
                let text = format!(
                    "accepted as revision {revision}; in force on every node that may admit work"
                );
                let facts = serde_json::json!({ "revision": revision, "in_force": true });
                self.answer_line(watch.origin, 200, &text, facts);
            }
            Err(wait) => {
                let names = wait.nodes.iter().map(|node| self.node_name(*node));
                let names: Vec<String> = names.collect();
                let text = format!(
                    "accepted as revision {revision}; not yet in force: {wait} ({})",
                    names.join(", ")
                );
                let facts = serde_json::json!({
                    "revision": revision,
                    "in_force": false,
                    "waits_for": names,
                });
                self.answer_line(watch.origin, 202, &text, facts);
            }
        }
    }

    /// Carries a change of the declared members over to the group.
    fn follow_members(&mut self, revision: u64, now: ClockTime) {
        let Some(seat) = &self.member else {
            return;
        };
        let change = seat
            .state
            .changes()
            .history()
            .rev()
            .find(|change| change.revision == revision);
        let removed = change.into_iter().flat_map(|change| &change.edits);
        let removed = removed.filter_map(|edit| match edit {
            ConfigEdit::RemoveMember { member } => Some(NodeId::from_name(member)),
            _ => None,
        });
        let Some(core) = &seat.core else {
            return;
        };
        let records = core.members().records();
        let gone: Vec<MemberId> = removed
            .filter_map(|node| records.iter().find(|record| record.node == node))
            .map(|record| record.member)
            .collect();
        for member in gone {
            self.propose_member(MemberChange::Remove { member }, now);
        }
    }

    /// A node with a folder that has no place in the group asks for one.
    ///
    /// A node has one folder. If the group knows another one on the same node, that one is lost;
    /// it is taken out first, so that it counts in no quorum any more, and the new one learns.
    pub(crate) fn enlist(&mut self, from: NodeId, member: MemberId, now: ClockTime) {
        let is_declared = self.member_nodes().contains(&from);
        let Some(seat) = self.member.as_ref().filter(|seat| seat.leads(now)) else {
            return;
        };
        let Some(core) = &seat.core else {
            return;
        };
        if !is_declared || core.members().find(member).is_some() {
            return;
        }
        let mut records = core.members().records().iter();
        let lost = records.find(|record| record.node == from);
        let change = match lost {
            Some(record) => MemberChange::Remove {
                member: record.member,
            },
            None => MemberChange::AddLearner { member, node: from },
        };
        self.propose_member(change, now);
    }

    /// Lets learners that have caught up count in quorums.
    fn promote_learners(&mut self, now: ClockTime) {
        let core = self.member.as_ref().and_then(|seat| seat.core.as_ref());
        let Some(core) = core else {
            return;
        };
        let mut records = core.members().records().iter();
        let ready = records.find(|record| {
            record.role == MemberRole::Learner && core.has_caught_up(record.member, now)
        });
        if let Some(record) = ready {
            let member = record.member;
            self.propose_member(MemberChange::Promote { member }, now);
        }
    }

    fn propose_member(&mut self, change: MemberChange, now: ClockTime) {
        if let Some(seat) = &mut self.member {
            tracing::info!(?change, "changing the members");
            let actions = seat.propose_member(change, now);
            self.do_core(actions, now);
        }
    }

    /// The lease for orders was granted to this node by the log.
    pub(crate) fn orders_taken(&mut self, fence: FenceNumber, now: ClockTime) {
        self.note_lead(EventKind::LeaseGranted, Some(fence));
        let timing = order_timing(&self.settings.state);
        let rules = order_settings(&self.settings.orders);
        let desk = self.member.as_mut().and_then(|seat| seat.desk.as_mut());
        if let Some(desk) = desk {
            desk.gate = Some(OrderGate::new(timing, fence, now));
            desk.orders = Some(OrderTable::new(rules, fence, now));
        }
        if self.orders.is_none() {
            match OrderWorker::start(self.clock) {
                Ok(worker) => self.orders = Some(worker),
                Err(error) => tracing::error!(%error, "engines get no orders from this node"),
            }
        }
    }
}
