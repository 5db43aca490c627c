//! Read-only queries on a member.

use ragwortroad_log::{
    StoredEntry,
    StoredSnapshot, //
};
use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    InjectedBug,
    LogPosition,
    MemberId,
    MemberState,
    StaleFrame, //
};

/// Stands for this member's own acknowledgement, which is always the latest.
const SELF_ACKED_AT: ClockTime = ClockTime(u64::MAX);

impl ConsensusCore {
    /// The identity of this member, stored in its data folder.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The current term; the leader of a term uses it as the fencing token of its orders.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Whether this member was elected in its term and has not stepped down.
    ///
    /// This alone permits nothing: see [`may_act_as_leader`](Self::may_act_as_leader).
    pub fn is_leader(&self) -> bool {
        matches!(self.state, MemberState::Leader(_))
    }

    /// The time, on this member's clock, at which its leader lease expires; `None` unless it leads.
    ///
    /// The lease is extended as heartbeats are acknowledged. Until it expires no other member can
    /// have been elected, as long as clocks drift no more than the settings assume.
    pub fn lease_valid_until(&self) -> Option<ClockTime> {
        let state = self.leader_state()?;
        let acked = self.quorum_acked_at(state)?;
        Some(acked.after(self.settings.lease_span()))
    }

    /// Whether clients should send commands, reads and membership changes to this member.
    ///
    /// A quorum confirms each of them in any case; this only says where an attempt is worthwhile.
    pub fn accepts_proposals(&self, now: ClockTime) -> bool {
        match self.settings.uses_leader_lease {
            true => self.may_act_as_leader(now),
            false => self.is_leader(),
        }
    }

    /// Whether this member holds a valid leader lease and knows every committed entry, so that no
    /// other member can act as leader.
    ///
    /// Always `false` if the settings disable leases.
    pub fn may_act_as_leader(&self, now: ClockTime) -> bool {
        let Some(state) = self
            .leader_state()
            .filter(|_| self.settings.uses_leader_lease)
        else {
            return false;
        };
        let is_current = self.commit >= state.first_index;
        is_current && self.lease_valid_until().is_some_and(|until| now < until)
    }

    /// The send time of the latest message that a quorum, this member included, has acknowledged.
    pub(crate) fn quorum_acked_at(&self, state: &crate::LeaderState) -> Option<ClockTime> {
        let acked = |member: MemberId| {
            if member == self.id {
                return Some(SELF_ACKED_AT);
            }
            state
                .progress
                .get(&member)
                .and_then(|progress| progress.acked_at)
        };
        let reached = self.members().quorum_value(acked).flatten()?;
        // A leader that forms a quorum by itself acknowledges its own messages as they are sent.
        let is_alone = reached == SELF_ACKED_AT;
        Some(if is_alone {
            state.heartbeat_sent_at
        } else {
            reached
        })
    }

    /// Index up to which entries are durable on a quorum, as far as this member knows.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns committed entries after `index`, up to about `max_bytes` but at least one, for
    /// observers that follow the log without being members.
    ///
    /// Returns `None` if they are no longer in memory; [`latest_snapshot`](Self::latest_snapshot)
    /// then covers what precedes the entries that are. Decode their bytes with
    /// [`EntryPayload::decode`](crate::EntryPayload::decode).
    pub fn committed_after(&self, index: u64, max_bytes: usize) -> Option<&[StoredEntry]> {
        if index < self.log.base().index {
            return None;
        }
        let slice = self.log.slice(index.saturating_add(1), max_bytes);
        let committed = slice.partition_point(|entry| entry.index <= self.commit);
        Some(&slice[..committed])
    }

    /// The latest snapshot, whether taken here or received from a leader.
    pub fn latest_snapshot(&self) -> Option<&StoredSnapshot> {
        self.snapshot.as_deref()
    }

    /// Position of the last entry in this member's log, durable or not.
    pub fn last_position(&self) -> LogPosition {
        self.log.last()
    }

    /// Index of the log entry that put the current member set in force.
    pub fn members_index(&self) -> u64 {
        self.members.latest_index()
    }

    /// Index up to which each other member's log is known to be durable; empty unless this member
    /// leads.
    pub fn match_indexes(&self) -> Vec<(MemberId, u64)> {
        let progress = self.leader_state().map(|state| &state.progress);
        let matches = progress.into_iter().flatten();
        matches
            .map(|(&member, progress)| (member, progress.match_index))
            .collect()
    }

    /// Whether this member takes part fully.
    ///
    /// After a restart of its machine, a member first asks the others for their terms and logs, and
    /// then catches up with the latest log among them.
    pub fn is_verified(&self) -> bool {
        self.check.is_done && self.log.last() >= self.check.log_floor
    }

    /// The members whose replies the restart check still needs; empty once the member takes part.
    pub fn restart_check_pending(&self) -> Vec<MemberId> {
        if self.check.is_done {
            return Vec::new();
        }
        self.check.unanswered(self.id)
    }

    /// Whether this member has failed; only a new core on a reopened data folder takes part again.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// The start number that the messages of this member carry.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Takes the frame that was ignored last because a later start of its sender is known.
    ///
    /// Frames of an earlier start arrive for a moment after a restart. A member that started with a
    /// lower number than before is ignored until it has raised its number.
    pub fn take_stale_frame(&mut self) -> Option<StaleFrame> {
        self.stale_frame.take()
    }

    /// Time at which the next `Tick` is due; a later one delays heartbeats and elections.
    pub fn wake_at(&self) -> ClockTime {
        let interval = self.settings.heartbeat_interval;
        if let Some(asked_at) = self.check.asked_at.filter(|_| !self.check.is_done) {
            return asked_at.after(interval);
        }
        let wake = match &self.state {
            MemberState::Leader(state) => state.heartbeat_sent_at.after(interval),
            _ => self.election_deadline,
        };
        match self.recall.asked_at.filter(|_| !self.recall.is_done) {
            Some(asked_at) => wake.min(asked_at.after(interval)),
            None => wake,
        }
    }

    /// Whether the leader lease permits this member to grant a vote at `now`.
    pub(crate) fn is_free_to_vote(&self, now: ClockTime) -> bool {
        if self.settings.has_bug(InjectedBug::VoteWithinLease) {
            return true;
        }
        !self.is_leader() && now >= self.no_vote_until
    }
}
