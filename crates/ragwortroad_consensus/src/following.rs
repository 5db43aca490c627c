//! Handles messages from the leader on a follower.

use ragwortroad_log::StoredEntry;
use ragwortroad_types::ClockTime;

use crate::{
    AppendOutcome,
    ConsensusCore,
    EntryPayload,
    LogPosition,
    MemberId,
    PeerMessage,
    WireEntry, //
};

impl ConsensusCore {
    /// Handles a message from the leader of the current term.
    pub(crate) fn handle_leader_message(
        &mut self,
        from: MemberId,
        message: PeerMessage,
        now: ClockTime,
    ) {
        if self.is_leader() {
            return;
        }
        self.step_down();
        self.set_leader(Some(from));
        self.no_vote_until = now.after(self.settings.election_timeout);
        self.reset_election_timer(now);
        match message {
            PeerMessage::Heartbeat {
                commit, sent_at, ..
            } => self.handle_heartbeat(from, commit, sent_at),
            PeerMessage::Append {
                prev,
                commit,
                sent_at,
                entries,
                ..
            } => self.handle_append(from, prev, commit, sent_at, entries),
            PeerMessage::Chunk(chunk) => self.handle_chunk(from, chunk),
            _ => {}
        }
    }

    fn handle_heartbeat(&mut self, from: MemberId, commit: u64, sent_at: ClockTime) {
        self.commit_to(commit.min(self.leader_match_index));
        let term = self.vote.term;
        let reply = PeerMessage::HeartbeatReply { term, sent_at };
        // The reply depends only on the term: waiting for entries to be persisted would cost the
        // leader its lease whenever a disk is slow.
        if self.barrier.is_vote_durable() {
            self.send(from, reply);
        } else {
            self.send_after_persist(from, reply);
        }
    }

    fn handle_append(
        &mut self,
        from: MemberId,
        prev: LogPosition,
        commit: u64,
        sent_at: ClockTime,
        entries: Vec<WireEntry>,
    ) {
        let outcome = match self.conflict_hint(prev) {
            Some(hint) => AppendOutcome::Conflict {
                prev: prev.index,
                hint,
            },
            None => {
                let matched = prev.index + entries.len() as u64;
                self.merge_entries(prev.index, entries);
                self.leader_match_index = self.leader_match_index.max(matched);
                self.commit_to(commit.min(self.leader_match_index));
                AppendOutcome::Matched(matched)
            }
        };
        self.reply_append(from, sent_at, outcome);
    }

    pub(crate) fn reply_append(
        &mut self,
        to: MemberId,
        sent_at: ClockTime,
        outcome: AppendOutcome,
    ) {
        let reply = PeerMessage::AppendReply {
            term: self.vote.term,
            sent_at,
            outcome,
            starts: self.starts.starts_for(to, self.members.latest()),
        };
        self.send_after_persist(to, reply);
    }

    /// Returns the last index at which the logs may still match, or `None` if this log contains
    /// `prev`.
    fn conflict_hint(&self, prev: LogPosition) -> Option<u64> {
        let base = self.log.base();
        // Entries up to the base are committed, so every leader has the same ones.
        if prev.index <= base.index.max(self.commit) {
            return None;
        }
        match self.log.term_at(prev.index) {
            Some(term) if term == prev.term => None,
            Some(_) => {
                let first = self.log.first_index_of_term(prev.index);
                Some((first - 1).max(self.commit))
            }
            None => Some(self.log.last().index),
        }
    }

    /// Appends the entries that follow `prev_index`, and truncates entries that conflict with them.
    fn merge_entries(&mut self, prev_index: u64, entries: Vec<WireEntry>) {
        for (index, entry) in (prev_index + 1..).zip(entries) {
            if index <= self.commit || self.log.term_at(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last().index {
                self.drop_entries(index);
            }
            self.add_entry(StoredEntry {
                index,
                term: entry.term,
                bytes: entry.bytes,
            });
        }
    }

    fn drop_entries(&mut self, from: u64) {
        self.log.truncate_from(from);
        self.members.truncate_from(from);
        self.barrier.change().truncate_from = Some(from);
    }

    fn add_entry(&mut self, entry: StoredEntry) {
        if let Ok(EntryPayload::Members(set)) = EntryPayload::decode(&entry.bytes) {
            self.members.push(entry.index, set);
        }
        self.barrier.change().entries.push(entry.clone());
        self.log.push(entry);
    }
}
