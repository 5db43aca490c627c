//! A member's part in the replicated log: founding, frames, disk, applied commands.

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
        DiskOrder,
        DiskReport, //
    },
    member::{
        member_seat::MemberSeat,
        proposal_kind::{
            LineOrigin,
            ProposalKind, //
        }, //
    },
    wire::follow_message::FollowMessage,
};

/// Time between two hellos while a group is being founded, or asked for a place.
const HELLO_EVERY: Duration = Duration::from_millis(250);

impl ControlState {
    /// Lets time pass for this member.
    pub(crate) fn tick_member(&mut self, now: ClockTime) {
        let Some(seat) = &mut self.member else {
            return;
        };
        if seat.core.is_none() {
            return self.tick_founding(now);
        }
        let actions = seat.handle(CoreInput::Tick, now);
        self.do_core(actions, now);
        self.ask_for_place(now);
        self.tick_leader(now);
    }

    /// Says hello to the other founding members, and founds the group when all have said theirs.
    fn tick_founding(&mut self, now: ClockTime) {
        let seed = self.draw();
        let Some(seat) = &mut self.member else {
            return;
        };
        let actions = seat.try_found(now, seed);
        let hello = seat.hello(self.node);
        if !actions.is_empty() {
            return self.do_core(actions, now);
        }
        if now.since(self.said_hello) >= HELLO_EVERY {
            self.said_hello = now;
            for node in self.member_nodes() {
                if node != self.node {
                    self.send_follow(node, FollowMessage::Founding(hello), now);
                }
            }
        }
    }

    /// Takes in another founding member's hello, and returns this one's.
    pub(crate) fn take_hello(&mut self, from: NodeId, hello: FoundingHello, now: ClockTime) {
        let node = self.node;
        let Some(seat) = &mut self.member else {
            return;
        };
        if hello.node != from {
            tracing::warn!(%from, "a hello names another node than its certificate");
            return;
        }
        seat.founding.take(hello);
        // Who has a core already tells so to one that is still waiting for hellos.
        if seat.core.is_some() {
            let own = seat.hello(node);
            let asks = now.since(self.said_hello) >= HELLO_EVERY;
            if asks && own != hello {
                self.said_hello = now;
                self.send_follow(from, FollowMessage::Founding(own), now);
            }
        }
    }

    /// Asks the leader for a place in the group, where this member's folder has none.
    fn ask_for_place(&mut self, now: ClockTime) {
        let Some(seat) = &self.member else {
            return;
        };
        let Some(core) = &seat.core else {
            return;
        };
        let identity = seat.identity;
        let has_place = core.members().find(identity).is_some();
        let is_due = now.since(self.said_hello) >= HELLO_EVERY * 4;
        if has_place || !is_due {
            return;
        }
        self.said_hello = now;
        let leader = self.leader().filter(|leader| *leader != self.node);
        if let Some(leader) = leader {
            let message = FollowMessage::Enlist { member: identity };
            self.send_follow(leader, message, now);
        }
    }

    /// Takes in a frame of another member.
    pub(crate) fn handle_frame(&mut self, from: NodeId, bytes: &[u8], now: ClockTime) {
        let Some(seat) = &mut self.member else {
            return;
        };
        let frame = match PeerFrame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(%error, "a member's frame cannot be read");
                return;
            }
        };
        if !is_honest(seat, &frame, from) {
            tracing::warn!(%from, member = %frame.from, "a frame names another node's folder");
            return;
        }
        seat.nodes.insert(frame.from, from);
        if breaks_promise(seat, &frame, now) {
            return;
        }
        let actions = seat.handle(CoreInput::Frame(frame), now);
        self.do_core(actions, now);
    }

    /// Takes in a report of the disk thread.
    pub(crate) fn handle_disk(&mut self, report: DiskReport, now: ClockTime) {
        let input = match report {
            DiskReport::Durable { batch } => CoreInput::Persisted { batch },
            DiskReport::Failed { reason } => {
                tracing::error!(
                    reason,
                    "this member acknowledges nothing until it is restarted"
                );
                CoreInput::PersistFailed
            }
        };
        if let Some(seat) = &mut self.member {
            let actions = seat.handle(input, now);
            self.do_core(actions, now);
        }
    }

    /// Does what the core wants done.
    pub(crate) fn do_core(&mut self, actions: Vec<CoreAction>, now: ClockTime) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                CoreAction::Persist { batch, change } => {
                    if let Some(seat) = &self.member {
                        seat.disk.order(DiskOrder { batch, change });
                    }
                }
                CoreAction::Send(frame) => self.send_frame(&frame),
                CoreAction::Apply { index, command, .. } => self.apply(index, &command),
                CoreAction::RestoreSnapshot { index, bytes } => self.restore(index, &bytes),
                CoreAction::WantSnapshot { index } => {
                    if let Some(seat) = &mut self.member {
                        let bytes = seat.state.to_snapshot();
                        let taken = CoreInput::SnapshotTaken { index, bytes };
                        queue.extend(seat.handle(taken, now));
                    }
                }
                CoreAction::ProposeDone { token, result } => {
                    self.proposal_done(token, result, now);
                }
                CoreAction::LeaderChanged { term, leader } => {
                    let leader = leader.map(|leader| leader.to_string());
                    tracing::info!(term, leader, "leader changed");
                    self.leader_moved();
                }
                CoreAction::MembersChanged { members, .. } => {
                    let count = members.records().len();
                    tracing::info!(members = count, "the members changed");
                    self.events.note(FleetEvent {
                        detail: format!("{count} members"),
                        ..FleetEvent::new(EventKind::MembersChanged)
                    });
                }
                // Reads rest on the leader's lease; none is proved by a round of its own.
                CoreAction::ReadReady { .. } | CoreAction::ReadRefused { .. } => {}
            }
        }
    }

    fn send_frame(&self, frame: &PeerFrame) {
        let Some(seat) = &self.member else {
            return;
        };
        let Some(node) = seat.node_of(frame.to) else {
            tracing::debug!(member = %frame.to, "the node of a member is not known");
            return;
        };
        match frame.encode() {
            Ok(bytes) => self.send(node, PeerChannel::Consensus, bytes),
            Err(error) => tracing::error!(%error, "a frame was not sent"),
        }
    }

    /// Applies a committed command.
    fn apply(&mut self, index: u64, command: &[u8]) {
        let Some(seat) = &mut self.member else {
            return;
        };
        match seat.state.apply(index, command) {
            Ok(applied) => {
                if !seat.proposals.is_empty() {
                    seat.applied.insert(index, applied);
                }
            }
            Err(error) => {
                tracing::error!(%error, "this member takes no further part");
                seat.core = None;
                seat.desk = None;
                seat.halted = true;
            }
        }
    }

    fn restore(&mut self, index: u64, bytes: &[u8]) {
        let Some(seat) = &mut self.member else {
            return;
        };
        match FleetState::from_snapshot(bytes) {
            Ok(state) => {
                tracing::info!(index, "state restored from a snapshot");
                seat.state = state;
            }
            Err(error) => {
                tracing::error!(%error, "this member takes no further part");
                seat.core = None;
                seat.halted = true;
            }
        }
    }

    /// A proposal of this member came to its end.
    fn proposal_done(&mut self, token: u64, result: ProposeResult, now: ClockTime) {
        let Some(seat) = &mut self.member else {
            return;
        };
        let Some(kind) = seat.proposals.remove(&token) else {
            return;
        };
        let applied = match result {
            ProposeResult::Committed { index, .. } => seat.applied.remove(&index),
            _ => None,
        };
        if seat.proposals.is_empty() {
            seat.applied.clear();
        }
        match (kind, applied) {
            (ProposalKind::Claims(batches), Some(ApplyOutcome::Claimed(outcomes))) => {
                self.answer_claims(batches, outcomes, now);
            }
            (ProposalKind::Change(origin), Some(ApplyOutcome::Changed(outcome))) => {
                self.change_decided(origin, outcome, now);
            }
            (ProposalKind::Change(origin), _) => self.change_lost(origin, result),
            (ProposalKind::TakeOrders, Some(ApplyOutcome::OrdersTaken { fence, .. })) => {
                self.orders_taken(fence, now);
            }
            // Nodes send their claim steps again until they are answered.
            (kind, applied) => tracing::debug!(?kind, ?applied, ?result, "a proposal ended"),
        }
    }

    /// Tells an operator whose change did not come to a decision.
    fn change_lost(&mut self, origin: LineOrigin, result: ProposeResult) {
        let body = match result {
            ProposeResult::NotLeader { .. } | ProposeResult::Refused(_) => {
                "not made: this node is no longer in charge; send the change again"
            }
            _ => "not known: the lead changed; send the change again with the same id",
        };
        self.answer_line(
            origin,
            503,
            body,
            serde_json::json!({ "outcome": "unknown" }),
        );
    }
}

/// Whether a frame comes from the node on which its sender's folder is known to be.
fn is_honest(seat: &MemberSeat, frame: &PeerFrame, from: NodeId) -> bool {
    let known = seat.core.as_ref();
    let known = known.and_then(|core| core.members().find(frame.from));
    known.is_none_or(|record| record.node == from)
}

/// Whether a frame brings a change of configuration or membership that this member has promised
/// not to write yet.
///
/// A node without a leader goes on admitting work as long as so many members promise to accept no
/// change that the others are no quorum. If this member took a change before its promise is over,
/// the change could count as in force while that node still acts on the old configuration. The
/// frame is treated as lost; the leader sends it again.
fn breaks_promise(seat: &MemberSeat, frame: &PeerFrame, now: ClockTime) -> bool {
    if seat.promises.may_write(now).is_ok() {
        return false;
    }
    match &frame.message {
        PeerMessage::Append { entries, .. } => entries.iter().any(is_change),
        PeerMessage::Chunk(_) => true,
        _ => false,
    }
}

/// Whether an entry changes the configuration or the members; one that cannot be read might.
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
