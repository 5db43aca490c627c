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
    RecallCheck,
    RestartCheck,
    SnapshotAssembly,
    StaleFrame,
    StartTable,
    SyncTime,
    VotePromise,
    persist_barrier::DeferredEffect, //
};

/// Syncs to wait for the votes: a vote may queue behind a write that has just begun, and a candidate's
/// own disk may be quicker than those of the voters.
pub(crate) const VOTE_SYNCS: u32 = 3;

/// Limit on how often a candidate that goes on losing doubles its patience.
const MAX_DOUBLINGS: u32 = 6;

/// One member of a Raft group, as a state machine without I/O.
///
/// The driver passes inputs together with the current time, and the core returns actions; time,
/// randomness, the disk and the network belong to the driver. The driver performs the actions in
/// order, writes batches in order, and applies commands in the order in which they are emitted.
#[derive(Debug)]
pub struct ConsensusCore {
    pub(crate) settings: CoreSettings,
    pub(crate) id: MemberId,
    /// Start number that the messages of this member carry.
    ///
    /// Invariant: durable.
    pub(crate) start: u64,
    /// Highest start number of this member, which may not be durable yet.
    pub(crate) raised_start: u64,
    pub(crate) rng: Pcg64Mcg,
    /// Invariant: `vote.term` never decreases, and `voted_for` changes only together with the term
    /// or from `None`.
    pub(crate) vote: VoteRecord,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: EntryLog,
    pub(crate) members: MemberHistory,
    pub(crate) snapshot: Option<Arc<StoredSnapshot>>,
    /// Index of the last entry known to be durable on a quorum.
    pub(crate) commit: u64,
    /// Index of the last entry emitted as an action.
    ///
    /// Invariant: at most `commit`.
    pub(crate) applied: u64,
    /// Bytes of the entries applied since the last snapshot.
    pub(crate) applied_bytes: usize,
    pub(crate) snapshot_requested: bool,
    /// Index up to which this log is known to equal the leader's.
    ///
    /// A heartbeat's commit index says nothing about later entries: they may be left over from an
    /// earlier term, and applying one would make the replicas' states diverge.
    pub(crate) leader_match_index: u64,
    pub(crate) state: MemberState,
    pub(crate) barrier: PersistBarrier,
    pub(crate) sync_time: SyncTime,
    pub(crate) check: RestartCheck,
    pub(crate) recall: RecallCheck,
    pub(crate) starts: StartTable,
    /// The frame ignored last because a later start of its sender is known.
    pub(crate) stale_frame: Option<StaleFrame>,
    /// Whether the data folder has been confirmed, in this boot, to be no older than what this
    /// member acknowledged.
    pub(crate) is_confirmed: bool,
    pub(crate) assembly: Option<SnapshotAssembly>,
    /// Time before which this member grants no vote, because a leader may rely on it for its lease.
    pub(crate) no_vote_until: ClockTime,
    /// Elections that this member has lost since it last knew a leader.
    pub(crate) lost_elections: u32,
    /// The candidate that this member supports, if one may win.
    pub(crate) promise: Option<VotePromise>,
    /// Time at which an election starts unless the member hears from a leader or candidate first.
    pub(crate) election_deadline: ClockTime,
    /// Whether a write failed or an entry could not be read; a failed member promises nothing any
    /// more.
    pub(crate) has_failed: bool,
    pub(crate) out: Vec<CoreAction>,
}

impl ConsensusCore {
    /// Handles one input at the time `now` and returns the actions to perform.
    ///
    /// The driver must perform all of them, in order, before it passes the next input: a batch
    /// written ahead of an earlier one would not fit the log.
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
            CoreInput::Persisted { batch } => {
                self.sync_time.finish(batch, now);
                self.barrier.mark_persisted(batch);
            }
            CoreInput::PersistFailed => self.handle_persist_failure(),
            CoreInput::SnapshotTaken { index, bytes } => self.compact_to_snapshot(index, bytes),
            CoreInput::ChangeMember { token, change } => self.change_member(token, &change, now),
            CoreInput::PeerConnected { member } => {
                self.ask_connected_member(member);
                self.resend_unacknowledged(member, now);
            }
            CoreInput::TransferLeadership => self.transfer_leadership(now),
            CoreInput::TrustDisk => self.check = RestartCheck::skipped(),
        }
    }

    /// Ends an input: emits the changes to be persisted, and runs the effects whose changes are
    /// durable.
    fn flush(&mut self, now: ClockTime) {
        self.confirm_boot();
        loop {
            if let Some((batch, mut change)) = self.barrier.take_batch() {
                if self.settings.has_bug(InjectedBug::SkipVoteWrite) {
                    change.vote = None;
                }
                self.sync_time.start(batch, now);
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
            DeferredEffect::VoteFor(candidate, term, last) => {
                self.confirm_vote(candidate, term, last, now);
            }
            DeferredEffect::OwnMatch(term, index) => self.count_own_match(term, index, now),
            DeferredEffect::OwnStart(start) => self.adopt_start(start, now),
        }
    }

    fn handle_frame(&mut self, frame: PeerFrame, now: ClockTime) {
        if frame.to != self.id || frame.from == self.id {
            return;
        }
        // Each of two members may take the other's start for an earlier one.
        if let PeerMessage::StaleStart { known } = frame.message {
            return self.raise_start(known);
        }
        if !self.observe_start(frame.from, frame.start, now) {
            let known = self.starts.latest(frame.from);
            self.stale_frame = Some(StaleFrame {
                member: frame.from,
                start: frame.start,
                known_start: known,
            });
            self.send(frame.from, PeerMessage::StaleStart { known });
            return;
        }
        self.handle_message(frame.from, frame.message, now);
    }

    /// Rejects an input after this member has failed.
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

    /// Stops this member after a failed write: what reached the disk is unknown, so it promises
    /// nothing more.
    ///
    /// The process continues; a new core may start once the data folder has been reopened.
    fn handle_persist_failure(&mut self) {
        self.step_down();
        self.leader = None;
        self.barrier.clear();
        self.sync_time.clear();
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

    /// Sends a message once all changes made so far are durable.
    pub(crate) fn send_after_persist(&mut self, to: MemberId, message: PeerMessage) {
        self.barrier.defer(DeferredEffect::Send(to, message));
    }

    /// Restarts the election timer: an election timeout plus a random part, unless a leader is
    /// heard first.
    pub(crate) fn reset_election_timer(&mut self, now: ClockTime) {
        let min_delay = self.settings.election_timeout;
        self.set_election_deadline(now, min_delay, min_delay / 2);
    }

    /// Restarts the timer after a pre-vote.
    ///
    /// A pre-vote is not binding and is repeated soon, so that a voter that heard the leader
    /// slightly later delays the election only slightly when it refuses.
    pub(crate) fn reset_pre_vote_timer(&mut self, now: ClockTime) {
        let min_delay = self.settings.election_timeout / 8;
        self.set_election_deadline(now, min_delay, min_delay * 2);
    }

    /// Restarts the timer of a candidate, since a split vote needs another term.
    ///
    /// Without leases many members start at once after a common restart and split votes are common,
    /// so the next attempt comes sooner and is spread over a wider range.
    pub(crate) fn reset_candidate_timer(&mut self, now: ClockTime) {
        let timeout = self.settings.election_timeout;
        let (min_delay, spread) = match self.settings.uses_leader_lease {
            true => (timeout / 2, timeout / 2),
            false => (timeout / 8, timeout / 2),
        };
        let sync = self.sync_time.expected(now);
        // The disks of the voters may be slower than this one's.
        let doublings = self.lost_elections.saturating_sub(1).min(MAX_DOUBLINGS);
        let min_delay = (min_delay + sync * VOTE_SYNCS) * 2_u32.pow(doublings);
        self.set_election_deadline(now, min_delay, spread + sync);
    }

    /// Restarts the timer of a member that would vote for another one, which first has to make its
    /// own vote durable.
    pub(crate) fn reset_support_timer(&mut self, now: ClockTime) {
        let timeout = self.settings.election_timeout;
        let sync = self.sync_time.expected(now);
        self.set_election_deadline(now, timeout / 8 + sync * VOTE_SYNCS, timeout / 4);
    }

    /// Restarts the timer of a member that has voted for another one.
    pub(crate) fn reset_vote_timer(&mut self, now: ClockTime) {
        let timeout = self.settings.election_timeout;
        let sync = self.sync_time.expected(now);
        self.set_election_deadline(now, timeout + sync * VOTE_SYNCS, timeout / 2);
    }

    fn set_election_deadline(&mut self, now: ClockTime, min_delay: Duration, spread: Duration) {
        let jitter = self.rng.random_range(0..=spread.as_millis() as u64);
        self.election_deadline = now.after(min_delay).after(Duration::from_millis(jitter));
    }

    pub(crate) fn set_leader(&mut self, leader: Option<MemberId>) {
        // From here on the leader's commit index counts.
        self.recall.is_done |= leader.is_some();
        if leader.is_some() {
            self.lost_elections = 0;
        }
        if self.leader != leader {
            self.leader = leader;
            let term = self.vote.term;
            self.out.push(CoreAction::LeaderChanged { term, leader });
        }
    }

    /// Whether this member may campaign: it has passed the restart check and is a voter.
    pub(crate) fn is_electable(&self) -> bool {
        self.check.is_done && self.members().is_voter(self.id)
    }

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

    /// The member set in force here, whether committed or not.
    pub fn members(&self) -> &MemberSet {
        self.members.latest()
    }
}
