//! Duties of the leader: taking and giving up leadership, operators' changes, membership changes.

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
        leader_context::{
            ChangeWatch,
            LeaderContext, //
        },
        proposal_kind::{
            LineOrigin,
            ProposalKind, //
        },
        state_replica::{
            follow_timing,
            order_timing, //
        }, //
    },
    order::order_worker::OrderWorker,
};

/// Interval between two commands that only advance the state's clock, so that claims expire.
const CLOCK_TICK_INTERVAL: Duration = Duration::from_secs(10);

/// How long an operator waits for a change to be in force before being told which nodes it waits
/// for.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

impl ControlState {
    /// Takes leadership, runs its duties, or steps down.
    pub(crate) fn tick_leader(&mut self, now: ClockTime) {
        let timing = follow_timing(&self.settings.state);
        let Some(replica) = &mut self.replica else {
            return;
        };
        let Some(core) = &replica.core else {
            return;
        };
        match (core.is_leader(), replica.leader_context.is_some()) {
            (true, false) if core.may_act_as_leader(now) => {
                replica.leader_context = Some(LeaderContext::new(&replica.state, timing, now));
                tracing::info!(term = core.term(), "this node became leader");
                self.record_leader_event(EventKind::LeaderElected, None);
                self.report_absent_nodes();
                let action = StateAction::TakeOrders { holder: self.node };
                self.propose(action, ProposalKind::TakeOrders, now);
            }
            (false, true) => self.step_down(),
            (true, true) if replica.leads(now) => self.run_leader_duties(now),
            _ => {}
        }
    }

    /// Declares the nodes lost that are down when leadership begins; the outcomes of their claims
    /// are unknown from then on.
    ///
    /// A node that failed while there was no leader was not reported to the log. Its keys would
    /// stay "in progress" for ten minutes, and clients would wait for an attempt that is over.
    fn report_absent_nodes(&mut self) {
        let nodes = self.membership.nodes();
        let down = nodes.filter(|(_, record)| !record.state.is_present());
        let down: Vec<NodeId> = down.map(|(node, _)| node).collect();
        for node in down {
            self.claims.push_step(ClaimStep::NodeLost { node });
        }
    }

    /// Proposes a command to the replicated log.
    pub(crate) fn propose(&mut self, action: StateAction, kind: ProposalKind, now: ClockTime) {
        let wall_ms = self.clock.wall_ms();
        if let Some(replica) = &mut self.replica {
            let actions = replica.propose(action, kind, wall_ms, now);
            self.run_core_actions(actions, now);
        }
    }

    /// Gives up leadership. Operators who wait are told to resend their change: the next leader
    /// knows its outcome by its id.
    fn step_down(&mut self) {
        let Some(context) = self
            .replica
            .as_mut()
            .and_then(|replica| replica.leader_context.take())
        else {
            return;
        };
        tracing::info!("this node stepped down as leader");
        self.record_leader_event(EventKind::LeaderDeposed, None);
        if let Some(gate) = context.gate {
            self.record_leader_event(EventKind::LeaseEnded, Some(gate.fence()));
        }
        let watches = context.watches.into_iter().map(|watch| watch.origin);
        let held_changes = context.held_changes.into_iter().map(|(_, origin)| origin);
        for origin in watches.chain(held_changes) {
            let text = "not known: the lead changed; send the change again with the same id";
            let facts = serde_json::json!({ "outcome": "unknown" });
            self.respond_to_line(origin, 503, text, facts);
        }
    }

    fn run_leader_duties(&mut self, now: ClockTime) {
        let Some(context) = self
            .replica
            .as_mut()
            .and_then(|replica| replica.leader_context.as_mut())
        else {
            return;
        };
        context.table.prune_expired(now);
        if now.since(context.last_tick) >= CLOCK_TICK_INTERVAL {
            context.last_tick = now;
            self.propose(StateAction::Tick, ProposalKind::Tick, now);
        }
        self.propose_held_changes(now);
        self.respond_to_watches(now);
        self.promote_learners(now);
    }

    /// Proposes a change, or holds it back while this member's promises are valid.
    pub(crate) fn propose_change(
        &mut self,
        command: ChangeCommand,
        origin: LineOrigin,
        now: ClockTime,
    ) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let may_write = replica.promises.may_write(now).is_ok();
        match &mut replica.leader_context {
            Some(context) if !may_write => context.held_changes.push((command, origin)),
            _ => {
                let action = StateAction::Change(command);
                self.propose(action, ProposalKind::Change(origin), now);
            }
        }
    }

    fn propose_held_changes(&mut self, now: ClockTime) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        if replica.promises.may_write(now).is_err() {
            return;
        }
        let held_changes = replica
            .leader_context
            .as_mut()
            .map(|context| std::mem::take(&mut context.held_changes));
        for (command, origin) in held_changes.unwrap_or_default() {
            self.propose_change(command, origin, now);
        }
    }

    /// Responds to a change: to a refused one at once, to an accepted one once it is in force.
    pub(crate) fn handle_change_outcome(
        &mut self,
        origin: LineOrigin,
        outcome: ChangeOutcome,
        now: ClockTime,
    ) {
        match outcome {
            ChangeOutcome::Accepted { revision } => {
                tracing::info!(revision, "change accepted");
                self.record_revision_event(EventKind::ChangeAccepted, revision, String::new());
                self.apply_member_removals(revision, now);
                self.watch_change(revision, origin, now);
            }
            refused => {
                let revision = self.follower.config.revision;
                let detail = outcome_text(&refused);
                self.record_revision_event(EventKind::ChangeRefused, revision, detail);
                self.respond_refused(origin, &refused);
            }
        }
    }

    /// Responds to an operator when an accepted change is in force everywhere.
    pub(crate) fn watch_change(&mut self, revision: u64, origin: LineOrigin, now: ClockTime) {
        let context = self
            .replica
            .as_mut()
            .and_then(|replica| replica.leader_context.as_mut());
        if let Some(context) = context {
            context.watches.push(ChangeWatch {
                revision,
                origin,
                until: now.after(IN_FORCE_TIMEOUT),
            });
        }
        self.respond_to_watches(now);
    }

    /// Responds to operators whose changes are in force, or who have waited for the maximum time.
    fn respond_to_watches(&mut self, now: ClockTime) {
        let Some(context) = self
            .replica
            .as_mut()
            .and_then(|replica| replica.leader_context.as_mut())
        else {
            return;
        };
        let mut done = Vec::new();
        for watch in std::mem::take(&mut context.watches) {
            match context.table.in_force(watch.revision, now) {
                Err(_) if now < watch.until => context.watches.push(watch),
                result => done.push((watch, result)),
            }
        }
        for (watch, result) in done {
            self.respond_to_watch(watch, result);
        }
    }

    fn respond_to_watch(&mut self, watch: ChangeWatch, result: Result<(), InForceWait>) {
        let revision = watch.revision;
        match result {
            Ok(()) => {
                let text = format!(
                    "accepted as revision {revision}; in force on every node that may admit work"
                );
                let facts = serde_json::json!({ "revision": revision, "in_force": true });
                self.respond_to_line(watch.origin, 200, &text, facts);
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
                self.respond_to_line(watch.origin, 202, &text, facts);
            }
        }
    }

    /// Removes the members that a configuration change removes from the consensus group.
    fn apply_member_removals(&mut self, revision: u64, now: ClockTime) {
        let Some(replica) = &self.replica else {
            return;
        };
        let change = replica
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
        let Some(core) = &replica.core else {
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

    /// Handles a node that asks to join the group with a data folder that isn't a member.
    ///
    /// A node has one data folder. If the group knows a different one on the same node, that folder
    /// is lost. It is removed first, so that it no longer counts in any quorum, and the new one
    /// joins as a learner.
    pub(crate) fn enlist(&mut self, from: NodeId, member: MemberId, now: ClockTime) {
        let is_declared = self.member_nodes().contains(&from);
        let Some(replica) = self.replica.as_ref().filter(|replica| replica.leads(now)) else {
            return;
        };
        let Some(core) = &replica.core else {
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

    /// Promotes a learner that has caught up to a voter.
    fn promote_learners(&mut self, now: ClockTime) {
        let core = self
            .replica
            .as_ref()
            .and_then(|replica| replica.core.as_ref());
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
        if let Some(replica) = &mut self.replica {
            tracing::info!(?change, "proposing a membership change");
            let actions = replica.propose_member(change, now);
            self.run_core_actions(actions, now);
        }
    }

    /// Starts giving orders after the log granted the lease for orders to this node.
    pub(crate) fn start_orders(&mut self, fence: FencingToken, now: ClockTime) {
        self.record_leader_event(EventKind::LeaseGranted, Some(fence));
        let timing = order_timing(&self.settings.state);
        let settings = order_settings(&self.settings.orders);
        let context = self
            .replica
            .as_mut()
            .and_then(|replica| replica.leader_context.as_mut());
        if let Some(context) = context {
            context.gate = Some(OrderGate::new(timing, fence, now));
            context.orders = Some(OrderTable::new(settings, fence, now));
        }
        if self.orders.is_none() {
            match OrderWorker::start(self.clock) {
                Ok(worker) => self.orders = Some(worker),
                Err(error) => {
                    tracing::error!(%error, "cannot start the order thread; engines get no orders from this node")
                }
            }
        }
    }
}
