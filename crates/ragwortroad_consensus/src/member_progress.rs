use std::{
    sync::Arc,
    time::Duration, //
};

use ragwortroad_log::StoredSnapshot;
use ragwortroad_types::ClockTime;

use crate::MemberSet;

/// How a leader replicates to one member.
#[derive(Clone, Debug)]
pub(crate) enum SendMode {
    /// Sends one message at a time, to find the index up to which the logs match.
    Probe,
    /// Sends several messages without waiting for their replies.
    Pipeline,
    /// Sends the chunks of a snapshot.
    Snapshot(SnapshotTransfer),
}

/// A snapshot in transfer to one member.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Arc<StoredSnapshot>,
    pub(crate) members: MemberSet,
    /// Bytes that the member has acknowledged.
    pub(crate) received: u64,
}

/// A leader's view of one member.
#[derive(Clone, Debug)]
pub(crate) struct MemberProgress {
    /// Index up to which the member's log is durable and equals the leader's.
    pub(crate) match_index: u64,
    /// Index of the next entry to send.
    ///
    /// Invariant: greater than `match_index`.
    pub(crate) next_index: u64,
    pub(crate) mode: SendMode,
    /// Number of unacknowledged messages.
    pub(crate) in_flight: usize,
    /// Time at which entries were last sent or acknowledged; resending is counted from it.
    pub(crate) last_active_at: ClockTime,
    /// Time at which the leader began to replicate to the member.
    pub(crate) since: ClockTime,
    /// Send time of the latest acknowledged message.
    pub(crate) acked_at: Option<ClockTime>,
    /// Highest commit index that the member has been sent for entries that it has.
    pub(crate) notified_commit: u64,
}

impl MemberProgress {
    pub(crate) fn new(next_index: u64, now: ClockTime) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: SendMode::Probe,
            in_flight: 0,
            last_active_at: now,
            since: now,
            acked_at: None,
            notified_commit: 0,
        }
    }

    /// Starts probing from `next_index`, where the member's log is unknown.
    pub(crate) fn probe(&mut self, next_index: u64) {
        self.mode = SendMode::Probe;
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight = 0;
    }

    /// Gives up the messages in flight, and continues after the last entry known to have arrived.
    pub(crate) fn reset_in_flight(&mut self) {
        self.in_flight = 0;
        if matches!(self.mode, SendMode::Pipeline) {
            self.probe(self.match_index + 1);
        }
    }

    /// Records that the member has all entries up to `index`.
    pub(crate) fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_late = matches!(&self.mode, SendMode::Snapshot(transfer)
            if index < transfer.snapshot.index);
        if !is_late {
            self.mode = SendMode::Pipeline;
        }
    }

    /// Whether the member has not been heard from for `timeout`.
    pub(crate) fn is_silent(&self, timeout: Duration, now: ClockTime) -> bool {
        let last_heard_at = self.acked_at.unwrap_or(self.since);
        now >= last_heard_at.after(timeout)
    }

    /// Records the acknowledgement of a message sent at `sent_at`.
    pub(crate) fn record_ack(&mut self, sent_at: ClockTime, now: ClockTime) {
        // A reading from the future can only result from a fault in the member; trusting it would
        // extend the lease.
        let sent_at = sent_at.min(now);
        self.acked_at = self.acked_at.max(Some(sent_at));
    }
}
