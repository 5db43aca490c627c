use std::collections::VecDeque;

use ragwortroad_log::LogChange;

use crate::{
    LogPosition,
    MemberId,
    PeerMessage, //
};

/// An effect that must not happen before certain changes are durable.
#[derive(Clone, Debug)]
pub(crate) enum DeferredEffect {
    /// Send a message to a member.
    Send(MemberId, PeerMessage),
    /// Count this member's own vote in a term.
    OwnVote(u64),
    /// Wait for the votes of others for a candidate in a term, whose log ends at a position.
    VoteFor(MemberId, u64, LogPosition),
    /// In a term, count this member's own log as durable up to an index.
    OwnMatch(u64, u64),
    /// Use a greater start number.
    OwnStart(u64),
}

/// Collects changes into batches, and defers effects until the batches they depend on are durable.
///
/// Writes are asynchronous: a batch is handed to the disk thread and confirmed later. If a vote or
/// an acknowledgement were sent before, a crash in between would break the promise it makes.
#[derive(Debug, Default)]
pub(crate) struct PersistBarrier {
    /// Changes made by the current input.
    change: LogChange,
    /// Effects deferred by the current input.
    new_effects: Vec<DeferredEffect>,
    /// Effects with the batch that each waits for.
    ///
    /// Invariant: batch numbers never decrease.
    deferred: VecDeque<(u64, DeferredEffect)>,
    last_batch: u64,
    persisted_batch: u64,
    /// Number of the batch with the latest vote.
    vote_batch: u64,
}

impl PersistBarrier {
    /// Returns the changes of the current input, to be extended.
    pub(crate) fn change(&mut self) -> &mut LogChange {
        &mut self.change
    }

    /// Defers `effect` until all changes made so far are durable.
    pub(crate) fn defer(&mut self, effect: DeferredEffect) {
        self.new_effects.push(effect);
    }

    /// Ends the current input and returns the batch to write, if anything changed.
    pub(crate) fn take_batch(&mut self) -> Option<(u64, LogChange)> {
        let change = std::mem::take(&mut self.change);
        let batch = (!change.is_empty()).then(|| {
            self.last_batch += 1;
            if change.vote.is_some() {
                self.vote_batch = self.last_batch;
            }
            (self.last_batch, change)
        });
        let needed = self.last_batch;
        let new_effects = self.new_effects.drain(..);
        self.deferred
            .extend(new_effects.map(|effect| (needed, effect)));
        batch
    }

    /// Records that all batches up to `batch` are durable.
    pub(crate) fn mark_persisted(&mut self, batch: u64) {
        self.persisted_batch = self.persisted_batch.max(batch.min(self.last_batch));
    }

    /// Removes and returns the next effect whose batch is durable.
    pub(crate) fn pop_ready(&mut self) -> Option<DeferredEffect> {
        let (needed, _) = self.deferred.front()?;
        if *needed > self.persisted_batch {
            return None;
        }
        self.deferred.pop_front().map(|(_, effect)| effect)
    }

    /// Whether the term and vote are durable, regardless of other changes.
    pub(crate) fn is_vote_durable(&self) -> bool {
        self.change.vote.is_none() && self.persisted_batch >= self.vote_batch
    }

    /// Drops all changes and effects after a failed write: what they wait for never becomes
    /// durable.
    pub(crate) fn clear(&mut self) {
        self.change = LogChange::default();
        self.new_effects.clear();
        self.deferred.clear();
    }
}
