use std::{
    sync::Arc,
    time::Duration, //
};

use ragwortroad_log::StoredSnapshot;
use ragwortroad_types::ClockTime;

use crate::MemberSet;

/// How a leader sends to one member.
#[derive(Clone, Debug)]
pub(crate) enum SendMode {
    /// One message at a time, to find where the logs agree.
    Probe,
    /// Several messages ahead of their answers.
    Pipeline,
    /// Pieces of a snapshot.
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way to one member.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Arc<StoredSnapshot>,
    pub(crate) members: MemberSet,
    /// Bytes the member has confirmed.
    pub(crate) received: u64,
}

/// What a leader knows of one member.
#[derive(Clone, Debug)]
pub(crate) struct MemberProgress {
    /// The member's log equals the leader's up to here, durably.
    pub(crate) match_index: u64,
    /// Next entry to send.
    ///
    /// Invariant: greater than `match_index`.
    pub(crate) next_index: u64,
    pub(crate) mode: SendMode,
    /// Messages sent and not answered.
    pub(crate) in_flight: usize,
    /// When something was sent or answered last, for sending again.
    pub(crate) last_active_at: ClockTime,
    /// When the leader began to send to the member.
    pub(crate) since: ClockTime,
    /// When the latest confirmed message left.
    pub(crate) acked_at: Option<ClockTime>,
    /// Highest index that the member has been told is committed and that it has.
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

    /// Starts over where nothing is known of the member's log.
    pub(crate) fn probe(&mut self, next_index: u64) {
        self.mode = SendMode::Probe;
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight = 0;
    }

    /// Gives up on what is under way, and starts from what is known to have come.
    pub(crate) fn reset_in_flight(&mut self) {
        self.in_flight = 0;
        if matches!(self.mode, SendMode::Pipeline) {
            self.probe(self.match_index + 1);
        }
    }

    /// The member has everything up to `index`.
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

    /// Whether nothing has been heard of the member for `timeout`.
    pub(crate) fn is_silent(&self, timeout: Duration, now: ClockTime) -> bool {
        let heard = self.acked_at.unwrap_or(self.since);
        now >= heard.after(timeout)
    }

    /// A message sent at `sent_at` has been confirmed.
    pub(crate) fn record_ack(&mut self, sent_at: ClockTime, now: ClockTime) {
        // A reading from the future can only come of a fault in the member; trusting it would
        // lengthen the lease.
        let sent_at = sent_at.min(now);
        self.acked_at = self.acked_at.max(Some(sent_at));
    }
}
