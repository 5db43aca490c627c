//! Leader duties: heartbeats, replication, commits and reads.

use std::collections::BTreeMap;

use ragwortroad_log::StoredEntry;
use ragwortroad_types::ClockTime;

use crate::{
    ConsensusCore,
    CoreAction,
    EntryPayload,
    InjectedBug,
    LeaderState,
    MemberId,
    MemberProgress,
    MemberState,
    PeerMessage,
    PendingRead,
    ProposeResult,
    persist_barrier::DeferredEffect, //
};

impl ConsensusCore {
    pub(crate) fn become_leader(&mut self, now: ClockTime) {
        let next_index = self.log.last().index + 1;
        let mut progress = BTreeMap::new();
        for record in self.members().records() {
            if record.member != self.id {
                progress.insert(record.member, MemberProgress::new(next_index, now));
            }
        }
        self.state = MemberState::Leader(Box::new(LeaderState {
            progress,
            first_index: next_index,
            since: now,
            heartbeat_sent_at: now,
            ..LeaderState::default()
        }));
        self.leader_match_index = next_index;
        self.set_leader(Some(self.id));
        self.append_as_leader(&EntryPayload::Noop, now);
    }

    /// Runs the periodic work of a leader.
    pub(crate) fn tick_leader(&mut self, now: ClockTime) {
        if self.has_lost_quorum(now) {
            self.step_down();
            self.set_leader(None);
            return self.reset_election_timer(now);
        }
        self.try_transfer_leadership(now);
        self.resend_stalled(now);
        self.send_heartbeats(now);
        self.complete_reads(now);
    }

    /// Whether no quorum has replied for an election timeout. Others may have elected a leader by
    /// then, and clients should look for it.
    fn has_lost_quorum(&self, now: ClockTime) -> bool {
        self.leader_state().is_some_and(|state| {
            let last_heard_at = self.quorum_acked_at(state).unwrap_or(state.since);
            now >= last_heard_at
                .max(state.since)
                .after(self.settings.election_timeout)
        })
    }

    fn send_heartbeats(&mut self, now: ClockTime) {
        let interval = self.settings.heartbeat_interval;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        if now < state.heartbeat_sent_at.after(interval) {
            return;
        }
        state.heartbeat_sent_at = now;
        let members: Vec<_> = state.progress.keys().copied().collect();
        for member in members {
            self.send_heartbeat(member, now);
        }
    }

    fn send_heartbeat(&mut self, member: MemberId, now: ClockTime) {
        let term = self.vote.term;
        let commit = self.commit;
        let state = self.leader_state_mut();
        let Some(progress) = state.and_then(|state| state.progress.get_mut(&member)) else {
            return;
        };
        progress.notified_commit = commit.min(progress.match_index);
        let message = PeerMessage::Heartbeat {
            term,
            commit: progress.notified_commit,
            sent_at: now,
        };
        self.send(member, message);
    }

    /// Appends an entry in the leader's own term and returns its index.
    pub(crate) fn append_as_leader(&mut self, payload: &EntryPayload, now: ClockTime) -> u64 {
        let term = self.vote.term;
        let index = self.log.last().index + 1;
        let bytes = payload.encode();
        let entry = StoredEntry { index, term, bytes };
        self.barrier.change().entries.push(entry.clone());
        self.barrier.defer(DeferredEffect::OwnMatch(term, index));
        self.log.push(entry);
        if let EntryPayload::Members(set) = payload {
            self.members.push(index, set.clone());
        }
        self.send_all(now);
        index
    }

    pub(crate) fn propose(&mut self, token: u64, command: Vec<u8>, now: ClockTime) {
        let max_bytes = self.settings.max_command_bytes;
        let max_proposals = self.settings.max_proposals;
        let leader = self.leader;
        let refusal = match self.leader_state() {
            None => Some(ProposeResult::NotLeader { leader }),
            Some(_) if command.len() > max_bytes => Some(ProposeResult::TooLarge),
            Some(state) => {
                let is_full = state.proposals.len() >= max_proposals;
                let is_transferring = state.transfer_deadline.is_some();
                (is_full || is_transferring).then_some(ProposeResult::Busy)
            }
        };
        if let Some(result) = refusal {
            return self.out.push(CoreAction::ProposeDone { token, result });
        }
        let index = self.append_as_leader(&EntryPayload::Command(command), now);
        if let Some(state) = self.leader_state_mut() {
            state.proposals.insert(index, token);
        }
    }

    pub(crate) fn count_own_match(&mut self, term: u64, index: u64, now: ClockTime) {
        if term != self.vote.term {
            return;
        }
        if let Some(state) = self.leader_state_mut() {
            state.own_match = state.own_match.max(index);
            self.advance_commit(now);
        }
    }

    /// Commits what a quorum has, provided that this includes an entry of the current term.
    ///
    /// An entry of an earlier term on a quorum can still be overwritten by a later leader that
    /// never had it, so counting replicas alone must not commit it.
    pub(crate) fn advance_commit(&mut self, now: ClockTime) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let matched = |member: MemberId| match state.progress.get(&member) {
            Some(progress) => progress.match_index,
            None if member == self.id => state.own_match,
            None => 0,
        };
        let reached = self.members().quorum_value(matched).unwrap_or(0);
        let is_own = self.log.term_at(reached) == Some(self.vote.term);
        let may_commit = is_own || self.settings.has_bug(InjectedBug::CommitOldTerms);
        if reached > self.commit && may_commit {
            self.commit_to(reached);
            self.notify_commit(now);
            self.complete_reads(now);
        }
    }

    /// Sends the commit index to members with no appends in flight, so that they apply without
    /// delay.
    fn notify_commit(&mut self, now: ClockTime) {
        let commit = self.commit;
        let Some(state) = self.leader_state() else {
            return;
        };
        let idle = state
            .progress
            .iter()
            .filter(|(_, progress)| progress.in_flight == 0 && progress.match_index >= commit);
        let members: Vec<_> = idle.map(|(&member, _)| member).collect();
        for member in members {
            self.send_heartbeat(member, now);
        }
    }

    /// Sends the commit index to a member that has just acknowledged entries.
    ///
    /// The last acknowledgement of a quorum commits the entries, and later acknowledgements trigger
    /// no other message. If these members learned of the commit only with the next heartbeat, two
    /// of five registries would serve an old configuration for 0.15 s longer, or no configuration
    /// at all after a common restart.
    pub(crate) fn notify_late_commit(&mut self, member: MemberId, now: ClockTime) {
        let commit = self.commit;
        let progress = self
            .leader_state()
            .and_then(|state| state.progress.get(&member));
        let needs_notice = progress.is_some_and(|progress| {
            let known = commit.min(progress.match_index);
            progress.in_flight == 0 && progress.notified_commit < known
        });
        if needs_notice {
            self.send_heartbeat(member, now);
        }
    }

    pub(crate) fn handle_ack(&mut self, from: MemberId, sent_at: ClockTime, now: ClockTime) {
        let timeout = self.settings.election_timeout;
        let state = self.leader_state_mut();
        let Some(progress) = state.and_then(|state| state.progress.get_mut(&from)) else {
            return;
        };
        let has_recovered = progress.is_silent(timeout, now) && progress.last_active_at < now;
        progress.record_ack(sent_at, now);
        if has_recovered {
            progress.reset_in_flight();
            self.send_entries(from, now);
        }
        self.complete_reads(now);
    }

    pub(crate) fn request_read(&mut self, token: u64, now: ClockTime) {
        let max_reads = self.settings.max_reads;
        let leader = self.leader;
        let state = self.leader_state_mut();
        let Some(state) = state.filter(|state| state.reads.len() < max_reads) else {
            return self.out.push(CoreAction::ReadRefused { token, leader });
        };
        let asked_at = now;
        state.reads.push_back(PendingRead { token, asked_at });
        self.complete_reads(now);
    }

    /// Completes the reads that are proved current: by the lease, or by a message that was sent
    /// after the read arrived and that a quorum has acknowledged.
    pub(crate) fn complete_reads(&mut self, now: ClockTime) {
        let Some(state) = self.leader_state() else {
            return;
        };
        if self.commit < state.first_index || state.reads.is_empty() {
            return;
        }
        let has_lease = self.may_act_as_leader(now);
        let acked = self.quorum_acked_at(state);
        let index = self.commit;
        let mut ready = Vec::new();
        if let Some(state) = self.leader_state_mut() {
            while let Some(read) = state.reads.front() {
                if !has_lease && acked.is_none_or(|acked| acked <= read.asked_at) {
                    break;
                }
                ready.push(read.token);
                state.reads.pop_front();
            }
        }
        for token in ready {
            self.out.push(CoreAction::ReadReady { token, index });
        }
    }
}
