//! Replicates the leader's log to the other members.

use std::sync::Arc;

use ragwortroad_types::ClockTime;

use crate::{
    AppendOutcome,
    ConsensusCore,
    LogPosition,
    MemberId,
    MemberProgress,
    PeerMessage,
    SendMode,
    SnapshotChunk,
    SnapshotTransfer,
    WireEntry, //
};

impl ConsensusCore {
    /// Sends pending entries to every member.
    pub(crate) fn send_all(&mut self, now: ClockTime) {
        let members: Vec<_> = match self.leader_state() {
            Some(state) => state.progress.keys().copied().collect(),
            None => return,
        };
        for member in members {
            self.send_entries(member, now);
        }
    }

    /// Sends entries to one member, up to the limit on messages in flight.
    pub(crate) fn send_entries(&mut self, member: MemberId, now: ClockTime) {
        while let Some(message) = self.next_message(member, now) {
            self.send(member, message);
        }
    }

    fn next_message(&mut self, member: MemberId, now: ClockTime) -> Option<PeerMessage> {
        let base = self.log.base().index;
        let last = self.log.last().index;
        let max_in_flight = self.settings.max_in_flight;
        let progress = self.leader_state()?.progress.get(&member)?;
        let allowed = match progress.mode {
            SendMode::Probe => 1,
            SendMode::Pipeline if progress.next_index > last => 0,
            SendMode::Pipeline => max_in_flight,
            SendMode::Snapshot(_) => 1,
        };
        if progress.in_flight >= allowed {
            return None;
        }
        if matches!(progress.mode, SendMode::Snapshot(_)) {
            return self.next_chunk(member, now);
        }
        if progress.next_index <= base {
            return self.start_snapshot_transfer(member, now);
        }
        self.next_append(member, now)
    }

    fn next_append(&mut self, member: MemberId, now: ClockTime) -> Option<PeerMessage> {
        let term = self.vote.term;
        let commit = self.commit;
        let max_bytes = self.settings.max_append_bytes;
        let progress = self.leader_state()?.progress.get(&member)?;
        let prev_index = progress.next_index - 1;
        let prev = LogPosition {
            term: self.log.term_at(prev_index)?,
            index: prev_index,
        };
        // A member that does not reply gets empty probes instead of the same entries again and
        // again.
        let is_silent = progress.is_silent(self.settings.election_timeout, now);
        let slice = self.log.slice(progress.next_index, max_bytes);
        let entries: Vec<_> = slice
            .iter()
            .filter(|_| !is_silent)
            .map(|entry| WireEntry {
                term: entry.term,
                bytes: entry.bytes.clone(),
            })
            .collect();
        let count = entries.len() as u64;
        let progress = self.progress_mut(member)?;
        progress.in_flight += 1;
        progress.last_active_at = now;
        if matches!(progress.mode, SendMode::Pipeline) {
            progress.next_index += count;
        }
        Some(PeerMessage::Append {
            term,
            prev,
            commit,
            sent_at: now,
            entries,
        })
    }

    /// Starts a snapshot transfer to a member that needs entries which this log no longer has.
    fn start_snapshot_transfer(&mut self, member: MemberId, now: ClockTime) -> Option<PeerMessage> {
        let snapshot = Arc::clone(self.snapshot.as_ref()?);
        let members = self.members.at(snapshot.index).clone();
        let progress = self.progress_mut(member)?;
        progress.mode = SendMode::Snapshot(SnapshotTransfer {
            snapshot,
            members,
            received: 0,
        });
        progress.in_flight = 0;
        self.next_chunk(member, now)
    }

    fn next_chunk(&mut self, member: MemberId, now: ClockTime) -> Option<PeerMessage> {
        let term = self.vote.term;
        let max_chunk_bytes = self.settings.max_chunk_bytes;
        let progress = self.progress_mut(member)?;
        let SendMode::Snapshot(transfer) = &progress.mode else {
            return None;
        };
        let snapshot = &transfer.snapshot;
        let total = snapshot.bytes.len();
        let start = (transfer.received as usize).min(total);
        let end = (start + max_chunk_bytes).min(total);
        let chunk = SnapshotChunk {
            term,
            sent_at: now,
            last: LogPosition {
                term: snapshot.term,
                index: snapshot.index,
            },
            members: transfer.members.clone(),
            total: total as u64,
            offset: start as u64,
            bytes: snapshot.bytes[start..end].to_vec(),
        };
        progress.in_flight += 1;
        progress.last_active_at = now;
        Some(PeerMessage::Chunk(chunk))
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        from: MemberId,
        outcome: AppendOutcome,
        now: ClockTime,
    ) {
        let last = self.log.last().index;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.last_active_at = now;
        match outcome {
            // No member can have more entries of this term than its leader.
            AppendOutcome::Matched(index) if index > last => return,
            AppendOutcome::Matched(index) => progress.record_match(index),
            // A reply that was overtaken by a later one carries no new information.
            AppendOutcome::Conflict { prev, .. } if prev <= progress.match_index => return,
            AppendOutcome::Conflict { prev, hint } => {
                progress.probe(prev.min(hint.saturating_add(1)))
            }
        }
        self.advance_commit(now);
        self.send_entries(from, now);
        self.notify_late_commit(from, now);
        self.try_transfer_leadership(now);
    }

    pub(crate) fn handle_chunk_reply(
        &mut self,
        from: MemberId,
        index: u64,
        received: u64,
        now: ClockTime,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let SendMode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        let total = transfer.snapshot.bytes.len() as u64;
        let is_new_progress = transfer.snapshot.index == index && received != transfer.received;
        if !is_new_progress || received >= total {
            return;
        }
        transfer.received = received;
        progress.in_flight = 0;
        self.send_entries(from, now);
    }

    /// Resends what has gone unacknowledged for `resend_after`: the message or its reply was lost.
    pub(crate) fn resend_stalled(&mut self, now: ClockTime) {
        let resend_after = self.settings.resend_after;
        let last = self.log.last().index;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let mut stalled = Vec::new();
        for (&member, progress) in &mut state.progress {
            let is_waiting = progress.in_flight > 0 || progress.match_index < last;
            if !is_waiting || now < progress.last_active_at.after(resend_after) {
                continue;
            }
            progress.reset_in_flight();
            stalled.push(member);
        }
        for member in stalled {
            self.send_entries(member, now);
        }
    }

    /// Resends at once what may have been lost with a broken connection to `member`.
    ///
    /// Where nothing is lost while a connection lasts, resending serves only this case and
    /// `resend_after` may be long; without this call a member that has just reconnected would wait
    /// for that time.
    pub(crate) fn resend_unacknowledged(&mut self, member: MemberId, now: ClockTime) {
        let last = self.log.last().index;
        let Some(progress) = self.progress_mut(member) else {
            return;
        };
        if progress.in_flight > 0 || progress.match_index < last {
            progress.reset_in_flight();
            self.send_entries(member, now);
        }
    }

    fn progress_mut(&mut self, member: MemberId) -> Option<&mut MemberProgress> {
        self.leader_state_mut()?.progress.get_mut(&member)
    }
}
