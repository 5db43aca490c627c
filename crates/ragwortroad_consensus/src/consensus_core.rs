use std::{
    sync::Arc,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use ragwortroad_log::{
    StoredSnapshot,
    VoteRecord, //
};
use ragwortroad_types::ClockTime;

use crate::{
    CoreAction,
    CoreInput,
    CoreSettings,
    EntryLog,
    InjectedBug,
    LeaderState,
    MemberHistory,
    MemberId,
    MemberSet,
    MemberState,
    PeerFrame,
    PeerMessage,
    PersistBarrier,
    ProposeResult,
    RestartCheck,
    SnapshotAssembly,
    StartTable,
    persist_barrier::DeferredEffect, //
};

/// One member of a group that agrees on a log, as pure state.
///
/// Inputs go in with the time, actions come out; time, randomness, disk and messages belong to the
/// caller. The caller does the actions in their order, writes batches in their order, and applies
/// commands as they come out.
#[derive(Debug)]
pub struct ConsensusCore {
    pub(crate) settings: CoreSettings,
    pub(crate) id: MemberId,
    pub(crate) start: u64,
    pub(crate) rng: Pcg64Mcg,
    /// Invariant: `vote.term` never goes down, and `voted_for` changes only with the term or from
    /// none.
    pub(crate) vote: VoteRecord,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: EntryLog,
    pub(crate) members: MemberHistory,
    pub(crate) snapshot: Option<Arc<StoredSnapshot>>,
    /// Entries up to here are durable on a quorum.
    pub(crate) commit: u64,
    /// Entries up to here went out as actions.
    ///
    /// Invariant: not above `commit`.
    pub(crate) applied: u64,
    /// Bytes of the entries applied since the last snapshot.
    pub(crate) applied_bytes: usize,
    pub(crate) snapshot_requested: bool,
    /// The log equals the leader's up to here.
    ///
    /// A heartbeat's commit index says nothing about entries beyond: they may be leftovers of an
    /// earlier term, and applying one would fork the state.
    pub(crate) leader_match_index: u64,
    pub(crate) state: MemberState,
    pub(crate) barrier: PersistBarrier,
    pub(crate) check: RestartCheck,
    pub(crate) starts: StartTable,
    /// The disk has been told that it is not older than what was acknowledged.
    pub(crate) is_confirmed: bool,
    pub(crate) assembly: Option<SnapshotAssembly>,
    /// Before this, no vote is given: a leader may rely on this member for its lease.
    pub(crate) no_vote_until: ClockTime,
    /// When an election starts if nothing is heard.
    pub(crate) election_deadline: ClockTime,
    /// A write failed; this member promises nothing any more.
    pub(crate) has_failed: bool,
    pub(crate) out: Vec<CoreAction>,
}

impl ConsensusCore {
    /// Handles one input at the time `now`; returns what is to be done.
    ///
    /// All of it is to be done, in order, before the next input: a batch handed to the disk ahead
    /// of an earlier one would not fit the log.
    pub fn handle(&mut self, input: CoreInput, now: ClockTime) -> Vec<CoreAction> {
        if self.has_failed {
            self.reject_input(input);
        } else {
            self.dispatch(input, now);
            self.flush(now);
        }
        std::mem::take(&mut self.out)
    }

    fn dispatch(&mut self, input: CoreInput, now: ClockTime) {
        match input {
            CoreInput::Tick => self.tick(now),
            CoreInput::Frame(frame) => self.handle_frame(frame, now),
            CoreInput::Propose { token, command } => self.propose(token, command, now),
            CoreInput::ReadRequest { token } => self.request_read(token, now),
            CoreInput::Persisted { batch } => self.barrier.mark_persisted(batch),
            CoreInput::PersistFailed => self.handle_persist_failure(),
            CoreInput::SnapshotTaken { index, bytes } => self.compact_to_snapshot(index, bytes),
            CoreInput::ChangeMember { token, change } => self.change_member(token, &change, now),
            CoreInput::PeerConnected { member } => self.resend_unacknowledged(member, now),
            CoreInput::TransferLeadership => self.transfer_leadership(now),
            CoreInput::TrustDisk => self.check = RestartCheck::skipped(),
        }
    }

    /// Ends an input: what changed goes to the disk, what is durable takes effect.
    fn flush(&mut self, now: ClockTime) {
        self.confirm_boot();
        loop {
            if let Some((batch, mut change)) = self.barrier.take_batch() {
                if self.settings.has_bug(InjectedBug::SkipVoteWrite) {
                    change.vote = None;
                }
                self.out.push(CoreAction::Persist { batch, change });
                if self.settings.has_bug(InjectedBug::ActBeforeSync) {
                    self.barrier.mark_persisted(batch);
                }
            }
            let Some(effect) = self.barrier.pop_ready() else {
                break;
            };
            self.run_effect(effect, now);
        }
        self.request_snapshot_if_due();
    }

    fn run_effect(&mut self, effect: DeferredEffect, now: ClockTime) {
        match effect {
            DeferredEffect::Send(to, message) => self.send(to, message),
            DeferredEffect::OwnVote(term) => self.count_own_vote(term, now),
            DeferredEffect::OwnMatch(term, index) => self.count_own_match(term, index, now),
        }
    }

    fn handle_frame(&mut self, frame: PeerFrame, now: ClockTime) {
        if frame.to != self.id || frame.from == self.id {
            return;
        }
        if !self.observe_start(frame.from, frame.start, now) {
            return;
        }
        self.handle_message(frame.from, frame.message, now);
    }

    /// Answers an input after a failed write.
    fn reject_input(&mut self, input: CoreInput) {
        let leader = None;
        match input {
            CoreInput::Propose { token, .. } | CoreInput::ChangeMember { token, .. } => {
                let result = ProposeResult::NotLeader { leader };
                self.out.push(CoreAction::ProposeDone { token, result });
            }
            CoreInput::ReadRequest { token } => {
                self.out.push(CoreAction::ReadRefused { token, leader });
            }
            _ => {}
        }
    }

    /// A write failed: what reached the disk is unknown, so nothing more is promised from here.
    ///
    /// The process goes on; a new core may start once the folder has been opened anew.
    fn handle_persist_failure(&mut self) {
        self.step_down();
        self.leader = None;
        self.barrier.clear();
        self.has_failed = true;
    }

    pub(crate) fn send(&mut self, to: MemberId, message: PeerMessage) {
        self.out.push(CoreAction::Send(PeerFrame {
            from: self.id,
            to,
            start: self.start,
            message,
        }));
    }

    /// Sends once everything changed so far is durable.
    pub(crate) fn send_after_persist(&mut self, to: MemberId, message: PeerMessage) {
        self.barrier.defer(DeferredEffect::Send(to, message));
    }

    /// An election starts an election timeout and some more from now, if nothing is heard.
    pub(crate) fn reset_election_timer(&mut self, now: ClockTime) {
        let least = self.settings.election_timeout;
        self.set_election_deadline(now, least, least / 2);
    }

    /// The question who would vote binds nobody and is soon asked again: a member that heard the
    /// leader a little later says no only a little longer.
    pub(crate) fn reset_pre_vote_timer(&mut self, now: ClockTime) {
        let least = self.settings.election_timeout / 8;
        self.set_election_deadline(now, least, least * 2);
    }

    /// Votes that split between candidates need another term.
    ///
    /// Without leases many members start at once after a common restart, and split votes are
    /// common: the next try comes sooner and is spread wider.
    pub(crate) fn reset_candidate_timer(&mut self, now: ClockTime) {
        let timeout = self.settings.election_timeout;
        match self.settings.uses_leader_lease {
            true => self.set_election_deadline(now, timeout / 2, timeout / 2),
            false => self.set_election_deadline(now, timeout / 8, timeout / 2),
        }
    }

    fn set_election_deadline(&mut self, now: ClockTime, least: Duration, spread: Duration) {
        let extra = self.rng.random_range(0..=spread.as_millis() as u64);
        self.election_deadline = now.after(least).after(Duration::from_millis(extra));
    }

    pub(crate) fn set_leader(&mut self, leader: Option<MemberId>) {
        if self.leader != leader {
            self.leader = leader;
            let term = self.vote.term;
            self.out.push(CoreAction::LeaderChanged { term, leader });
        }
    }

    /// Whether this member may vote or be elected.
    pub(crate) fn is_electable(&self) -> bool {
        self.check.is_done && self.members().is_voter(self.id)
    }

    /// The state of the leader, if this member is one.
    pub(crate) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.state {
            MemberState::Leader(state) => Some(state),
            _ => None,
        }
    }

    pub(crate) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.state {
            MemberState::Leader(state) => Some(state),
            _ => None,
        }
    }

    pub(crate) fn seeded(seed: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(seed)
    }

    /// The members in force here, committed or not.
    pub fn members(&self) -> &MemberSet {
        self.members.latest()
    }
}
