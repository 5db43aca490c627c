//! What can be asked of a member without changing it.

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
    MemberState, //
};

/// Stands for this member's own confirmation, which is always the latest.
const SELF_ACKED_AT: ClockTime = ClockTime(u64::MAX);

impl ConsensusCore {
    /// This member's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The term this member is in; the fencing number of a leader's orders.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// The leader of the term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Whether this member was elected in its term and has not stepped down.
    ///
    /// That alone allows nothing: see [`may_act_as_leader`](Self::may_act_as_leader).
    pub fn is_leader(&self) -> bool {
        matches!(self.state, MemberState::Leader(_))
    }

    /// The time, on this member's clock, from which on another leader is possible.
    ///
    /// It moves on as heartbeats are confirmed; until it is reached no other member can have been
    /// elected, given the drift of the settings.
    pub fn lease_valid_until(&self) -> Option<ClockTime> {
        let state = self.leader_state()?;
        let acked = self.quorum_acked_at(state)?;
        Some(acked.after(self.settings.lease_span()))
    }

    /// Whether commands, reads and changes of members are to be brought here.
    ///
    /// They are proved by a quorum in any case; this says only where it is worth trying.
    pub fn accepts_proposals(&self, now: ClockTime) -> bool {
        match self.settings.uses_leader_lease {
            true => self.may_act_as_leader(now),
            false => self.is_leader(),
        }
    }

    /// Whether this member is the only one that can be in charge, and knows all that was accepted.
    ///
    /// Never where the settings rule leases out.
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

    /// When a quorum, this member included, last confirmed a message, by the time it was sent.
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
        // A leader that is a quorum by itself confirms its own messages as they leave.
        let is_alone = reached == SELF_ACKED_AT;
        Some(if is_alone {
            state.heartbeat_sent_at
        } else {
            reached
        })
    }

    /// Entries up to this index are durable on a quorum, as far as is known here.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Committed entries after `index`, up to about `max_bytes` but at least one, for those who
    /// follow the log without being members.
    ///
    /// Nothing if they are no longer in memory: then [`latest_snapshot`](Self::latest_snapshot)
    /// has what came before those that are. Their bytes are read by
    /// [`EntryPayload::decode`](crate::EntryPayload::decode).
    pub fn committed_after(&self, index: u64, max_bytes: usize) -> Option<&[StoredEntry]> {
        if index < self.log.base().index {
            return None;
        }
        let slice = self.log.slice(index.saturating_add(1), max_bytes);
        let committed = slice.partition_point(|entry| entry.index <= self.commit);
        Some(&slice[..committed])
    }

    /// The latest snapshot, taken here or received.
    pub fn latest_snapshot(&self) -> Option<&StoredSnapshot> {
        self.snapshot.as_deref()
    }

    /// Last entry of the log here, durable or not.
    pub fn last_position(&self) -> LogPosition {
        self.log.last()
    }

    /// Index of the entry that put the members here in force.
    pub fn members_index(&self) -> u64 {
        self.members.latest_index()
    }

    /// How far each other member's log is known to be durable, on a leader.
    pub fn match_indexes(&self) -> Vec<(MemberId, u64)> {
        let progress = self.leader_state().map(|state| &state.progress);
        let matches = progress.into_iter().flatten();
        matches
            .map(|(&member, progress)| (member, progress.match_index))
            .collect()
    }

    /// Whether this member takes part in full.
    ///
    /// One whose machine has restarted first asks the others what they know, and then catches up
    /// with what they had.
    pub fn is_verified(&self) -> bool {
        self.check.is_done && self.log.last() >= self.check.log_floor
    }

    /// The members whose answers a restarted member still lacks; none once it takes part.
    pub fn restart_check_pending(&self) -> Vec<MemberId> {
        if self.check.is_done {
            return Vec::new();
        }
        self.check.unanswered(self.id)
    }

    /// Whether a write failed, so that only a new core on a reopened folder takes part again.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// When the next `Tick` is needed; a later one delays heartbeats and elections.
    pub fn wake_at(&self) -> ClockTime {
        let every = self.settings.heartbeat_interval;
        if let Some(asked_at) = self.check.asked_at.filter(|_| !self.check.is_done) {
            return asked_at.after(every);
        }
        match &self.state {
            MemberState::Leader(state) => state.heartbeat_sent_at.after(every),
            _ => self.election_deadline,
        }
    }

    /// Whether a vote may be given at `now`, as far as a leader's lease goes.
    pub(crate) fn is_free_to_vote(&self, now: ClockTime) -> bool {
        if self.settings.has_bug(InjectedBug::VoteWithinLease) {
            return true;
        }
        !self.is_leader() && now >= self.no_vote_until
    }
}
