use std::collections::VecDeque;

use ragwortroad_log::LogChange;

use crate::{
    MemberId,
    PeerMessage, //
};

/// An effect that must not happen before something is durable.
#[derive(Clone, Debug)]
pub(crate) enum DeferredEffect {
    /// Send a message.
    Send(MemberId, PeerMessage),
    /// Count this member's own vote in a term.
    OwnVote(u64),
    /// Count this member's own log up to an index, in a term.
    OwnMatch(u64, u64),
}

/// Collects changes into batches, and holds effects until the batches they need are durable.
///
/// Writing is asynchronous: a batch goes to the disk's thread and comes back later. Had a vote or
/// an acknowledgement gone out before, a crash in between would leave a promise that nobody keeps.
#[derive(Debug, Default)]
pub(crate) struct PersistBarrier {
    /// What the input at hand has changed.
    change: LogChange,
    /// Effects of the input at hand.
    new_effects: Vec<DeferredEffect>,
    /// Effects with the batch each waits for.
    ///
    /// Invariant: batches never go down.
    deferred: VecDeque<(u64, DeferredEffect)>,
    last_batch: u64,
    persisted_batch: u64,
    /// The batch with the latest vote.
    vote_batch: u64,
}

impl PersistBarrier {
    /// The change to add to.
    pub(crate) fn change(&mut self) -> &mut LogChange {
        &mut self.change
    }

    /// Holds `effect` until all that was changed so far is durable.
    pub(crate) fn defer(&mut self, effect: DeferredEffect) {
        self.new_effects.push(effect);
    }

    /// Ends the input at hand: the batch to write, if anything changed.
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

    /// All batches up to `batch` are durable.
    pub(crate) fn mark_persisted(&mut self, batch: u64) {
        self.persisted_batch = self.persisted_batch.max(batch.min(self.last_batch));
    }

    /// The next effect that may happen now.
    pub(crate) fn pop_ready(&mut self) -> Option<DeferredEffect> {
        let (needed, _) = self.deferred.front()?;
        if *needed > self.persisted_batch {
            return None;
        }
        self.deferred.pop_front().map(|(_, effect)| effect)
    }

    /// Whether the term and vote are durable, whatever else is not.
    pub(crate) fn is_vote_durable(&self) -> bool {
        self.change.vote.is_none() && self.persisted_batch >= self.vote_batch
    }

    /// Forgets every effect: nothing that waits will ever be durable.
    pub(crate) fn clear(&mut self) {
        self.change = LogChange::default();
        self.new_effects.clear();
        self.deferred.clear();
    }
}
