//! A member's part in the replicated log: bootstrap, frames, disk writes, committed commands.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::PeerChannel;
use ragwortroad_types::prelude::*;

use crate::{
    control::control_state::ControlState,
    disk_worker::{
        DiskReport,
        DiskWrite, //
    },
    member::{
        proposal_kind::{
            LineOrigin,
            ProposalKind, //
        },
        state_replica::StateReplica, //
    },
    wire::follow_message::FollowMessage,
};

/// Minimum interval between two hellos while the group is bootstrapped; requests to join an
/// existing group wait four times as long.
const HELLO_INTERVAL: Duration = Duration::from_millis(250);

impl ControlState {
    /// Runs the timers of this member's replica.
    pub(crate) fn tick_member(&mut self, now: ClockTime) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        if replica.core.is_none() {
            return self.tick_bootstrap(now);
        }
        let actions = replica.handle(CoreInput::Tick, now);
        self.run_core_actions(actions, now);
        self.request_membership(now);
        self.tick_leader(now);
    }

    /// Sends hellos to the other initial members, and bootstraps the group once all of them have
    /// sent theirs.
    fn tick_bootstrap(&mut self, now: ClockTime) {
        let seed = self.next_random();
        let Some(replica) = &mut self.replica else {
            return;
        };
        let actions = replica.try_bootstrap(now, seed);
        let hello = replica.hello(self.node);
        if !actions.is_empty() {
            return self.run_core_actions(actions, now);
        }
        if now.since(self.last_hello) >= HELLO_INTERVAL {
            self.last_hello = now;
            for node in self.member_nodes() {
                if node != self.node {
                    self.send_follow(node, FollowMessage::Founding(hello), now);
                }
            }
        }
    }

    /// Handles another initial member's hello, and replies to it.
    pub(crate) fn handle_hello(&mut self, from: NodeId, hello: BootstrapHello, now: ClockTime) {
        let node = self.node;
        let Some(replica) = &mut self.replica else {
            return;
        };
        if hello.node != from {
            tracing::warn!(%from, "ignored a hello: it names another node than its sender's certificate");
            return;
        }
        replica.bootstrap.record_hello(hello);
        // A member that already has a consensus core says so to one that still waits for hellos.
        if replica.core.is_some() {
            let own = replica.hello(node);
            let is_due = now.since(self.last_hello) >= HELLO_INTERVAL;
            if is_due && own != hello {
                self.last_hello = now;
                self.send_follow(from, FollowMessage::Founding(own), now);
            }
        }
    }

    /// Asks the leader for membership if this member's data folder isn't part of the group.
    fn request_membership(&mut self, now: ClockTime) {
        let Some(replica) = &self.replica else {
            return;
        };
        let Some(core) = &replica.core else {
            return;
        };
        let identity = replica.identity;
        let has_place = core.members().find(identity).is_some();
        let is_due = now.since(self.last_hello) >= HELLO_INTERVAL * 4;
        if has_place || !is_due {
            return;
        }
        self.last_hello = now;
        let leader = self.leader().filter(|leader| *leader != self.node);
        if let Some(leader) = leader {
            let message = FollowMessage::Enlist { member: identity };
            self.send_follow(leader, message, now);
        }
    }

    /// Handles a frame from another member.
    pub(crate) fn handle_frame(&mut self, from: NodeId, bytes: &[u8], now: ClockTime) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let frame = match PeerFrame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(%error, "cannot decode a member's frame");
                return;
            }
        };
        if !is_from_known_node(replica, &frame, from) {
            tracing::warn!(%from, member = %frame.from, "ignored a frame: its member belongs to another node");
            return;
        }
        replica.nodes.insert(frame.from, from);
        if breaks_promise(replica, &frame, now) {
            return;
        }
        let actions = replica.handle(CoreInput::Frame(frame), now);
        self.run_core_actions(actions, now);
    }

    /// Handles a report from the disk thread.
    pub(crate) fn handle_disk(&mut self, report: DiskReport, now: ClockTime) {
        let input = match report {
            DiskReport::Durable { batch } => CoreInput::Persisted { batch },
            DiskReport::Failed { reason } => {
                tracing::error!(
                    reason,
                    "data folder failed; this member acknowledges nothing until it is restarted"
                );
                CoreInput::PersistFailed
            }
        };
        if let Some(replica) = &mut self.replica {
            let actions = replica.handle(input, now);
            self.run_core_actions(actions, now);
        }
    }

    /// Performs the actions that the consensus core returned.
    pub(crate) fn run_core_actions(&mut self, actions: Vec<CoreAction>, now: ClockTime) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                CoreAction::Persist { batch, change } => {
                    if let Some(replica) = &self.replica {
                        replica.disk.write(DiskWrite { batch, change });
                    }
                }
                CoreAction::Send(frame) => self.send_frame(&frame),
                CoreAction::Apply { index, command, .. } => self.apply_command(index, &command),
                CoreAction::RestoreSnapshot { index, bytes } => {
                    self.restore_snapshot(index, &bytes)
                }
                CoreAction::TakeSnapshot { index } => {
                    if let Some(replica) = &mut self.replica {
                        let bytes = replica.state.to_snapshot();
                        let taken = CoreInput::SnapshotTaken { index, bytes };
                        queue.extend(replica.handle(taken, now));
                    }
                }
                CoreAction::ProposeDone { token, result } => {
                    self.handle_proposal_result(token, result, now);
                }
                CoreAction::LeaderChanged { term, leader } => {
                    let leader = leader.map(|leader| leader.to_string());
                    tracing::info!(term, leader, "leader changed");
                    self.handle_leader_change();
                }
                CoreAction::MembersChanged { members, .. } => {
                    let count = members.records().len();
                    tracing::info!(members = count, "membership changed");
                    self.events.record(FleetEvent {
                        detail: format!("{count} members"),
                        ..FleetEvent::new(EventKind::MembersChanged)
                    });
                }
                // Reads rely on the leader's lease; none needs a confirmation round of its own.
                CoreAction::ReadReady { .. } | CoreAction::ReadRefused { .. } => {}
            }
        }
    }

    fn send_frame(&self, frame: &PeerFrame) {
        let Some(replica) = &self.replica else {
            return;
        };
        let Some(node) = replica.node_of(frame.to) else {
            tracing::debug!(member = %frame.to, "cannot send a frame: the member's node is not known");
            return;
        };
        match frame.encode() {
            Ok(bytes) => self.send(node, PeerChannel::Consensus, bytes),
            Err(error) => tracing::error!(%error, "cannot encode a frame"),
        }
    }

    /// Applies a committed command to the state.
    fn apply_command(&mut self, index: u64, command: &[u8]) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        match replica.state.apply(index, command) {
            Ok(applied) => {
                if !replica.proposals.is_empty() {
                    replica.applied.insert(index, applied);
                }
            }
            Err(error) => {
                tracing::error!(%error, "cannot apply a committed command; this member is halted");
                replica.core = None;
                replica.leader_context = None;
                replica.halted = true;
            }
        }
    }

    fn restore_snapshot(&mut self, index: u64, bytes: &[u8]) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        match FleetState::from_snapshot(bytes) {
            Ok(state) => {
                tracing::info!(index, "state restored from a snapshot");
                replica.state = state;
            }
            Err(error) => {
                tracing::error!(%error, "cannot restore a snapshot; this member is halted");
                replica.core = None;
                replica.halted = true;
            }
        }
    }

    /// Handles the result of a proposal made by this member.
    fn handle_proposal_result(&mut self, token: u64, result: ProposeResult, now: ClockTime) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let Some(kind) = replica.proposals.remove(&token) else {
            return;
        };
        let applied = match result {
            ProposeResult::Committed { index, .. } => replica.applied.remove(&index),
            _ => None,
        };
        if replica.proposals.is_empty() {
            replica.applied.clear();
        }
        match (kind, applied) {
            (ProposalKind::Claims(batches), Some(ApplyOutcome::Claimed(outcomes))) => {
                self.answer_claims(batches, outcomes, now);
            }
            (ProposalKind::Change(origin), Some(ApplyOutcome::Changed(outcome))) => {
                self.handle_change_outcome(origin, outcome, now);
            }
            (ProposalKind::Change(origin), _) => self.handle_lost_change(origin, result),
            (ProposalKind::TakeOrders, Some(ApplyOutcome::OrdersTaken { fence, .. })) => {
                self.start_orders(fence, now);
            }
            // Nodes resend their claim steps until they are answered.
            (kind, applied) => tracing::debug!(?kind, ?applied, ?result, "proposal ended"),
        }
    }

    /// Tells an operator that a change was not decided.
    fn handle_lost_change(&mut self, origin: LineOrigin, result: ProposeResult) {
        let body = match result {
            ProposeResult::NotLeader { .. } | ProposeResult::Refused(_) => {
                "not made: this node is no longer in charge; send the change again"
            }
            _ => "not known: the lead changed; send the change again with the same id",
        };
        self.respond_to_line(
            origin,
            503,
            body,
            serde_json::json!({ "outcome": "unknown" }),
        );
    }
}

/// Whether a frame comes from the node that the group knows for the sender's data folder.
fn is_from_known_node(replica: &StateReplica, frame: &PeerFrame, from: NodeId) -> bool {
    let known = replica.core.as_ref();
    let known = known.and_then(|core| core.members().find(frame.from));
    known.is_none_or(|record| record.node == from)
}

/// Whether a frame contains a change of configuration or membership that this member has promised
/// not to write yet.
///
/// A node without a leader keeps admitting requests while so many members promise to accept no
/// change that the others can't form a quorum. If this member accepted a change before its promise
/// ends, the change could count as in force while that node still uses the old configuration. The
/// frame is treated as lost; the leader resends it.
fn breaks_promise(replica: &StateReplica, frame: &PeerFrame, now: ClockTime) -> bool {
    if replica.promises.may_write(now).is_ok() {
        return false;
    }
    match &frame.message {
        PeerMessage::Append { entries, .. } => entries.iter().any(is_change),
        PeerMessage::Chunk(_) => true,
        _ => false,
    }
}

/// Whether an entry changes the configuration or the members; an unreadable entry counts as one
/// that does.
fn is_change(entry: &WireEntry) -> bool {
    match postcard::from_bytes(&entry.bytes) {
        Ok(EntryPayload::Noop) => false,
        Ok(EntryPayload::Command(command)) => {
            let command = StateCommand::from_bytes(&command);
            command.map_or(true, |command| {
                matches!(command.action, StateAction::Change(_))
            })
        }
        Ok(EntryPayload::Members(_)) | Err(_) => true,
    }
}
