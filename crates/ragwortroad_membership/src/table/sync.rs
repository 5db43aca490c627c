//! Anti-entropy: views are compared, so that lost updates arrive eventually.

use std::time::Duration;

use ragwortroad_types::prelude::*;
use rand::RngExt;

use crate::{
    MembershipTable,
    pending_queue::UpdatePriority,
    record_key::{
        RecordKey,
        UpdateKey, //
    },
    sync_digest::BUCKET_COUNT,
    wire::wire_item::{
        BucketItem,
        WireItem, //
    }, //
};

/// Maximum number of buckets compared at once; further ones follow in the next comparison.
const MAX_BUCKETS_PER_SYNC: usize = 4;

/// Time after the start during which a node fetches missing records early, without waiting for the
/// updates that would bring them.
const STARTUP_PERIOD: Duration = Duration::from_secs(20);

/// Time for which views may differ before a node that has just started compares them.
///
/// A node that accepts clients but knows no endpoints rejects all their requests. Until it has
/// caught up, clients see a fleet that only serves requests on some of its addresses.
const STARTUP_SYNC_DELAY: Duration = Duration::from_millis(400);

impl MembershipTable {
    /// Whether this node has only just started.
    fn is_starting(&self, now: ClockTime) -> bool {
        self.started
            .is_some_and(|at| now.since(at) < STARTUP_PERIOD)
    }

    /// Starts a comparison with each peer whose view has differed for long enough.
    pub(super) fn start_syncs(&mut self, now: ClockTime) {
        if !self.budget.has_available() {
            return;
        }
        let delay = match self.is_starting(now) {
            true => STARTUP_SYNC_DELAY.min(self.settings.sync_after),
            false => self.settings.sync_after,
        };
        let hashes = self.digest.bucket_hashes();
        for (peer, link) in &mut self.links {
            // One side is enough. The other waits twice as long and takes over if the first does
            // not act.
            let delay = if *peer > self.own { delay } else { delay * 2 };
            let differs = link.differs_since.map(|since| now.since(since));
            let interval_elapsed = link.last_sync.is_none_or(|at| now.since(at) >= delay);
            if interval_elapsed && differs.is_some_and(|duration| duration >= delay) {
                link.last_sync = Some(now);
                link.push_direct(WireItem::Buckets(hashes.clone()));
            }
        }
    }

    /// Replies to a peer's bucket hashes with the content of some buckets that differ.
    pub(super) fn compare_buckets(&mut self, from: NodeId, hashes: &[u16], now: ClockTime) {
        let own = self.digest.bucket_hashes();
        // Records take precedence over comparisons. Otherwise a node that many peers compare with
        // would spend its whole budget on lists of differences and none on the records themselves.
        if hashes.len() != own.len() || !self.budget.has_available() {
            return;
        }
        // With a random start, a node that lacks all records gets different buckets from its
        // neighbours.
        let start = self.rng.random_range(0..BUCKET_COUNT);
        let differing: Vec<usize> = (0..BUCKET_COUNT)
            .map(|step| (start + step) % BUCKET_COUNT)
            .filter(|bucket| own[*bucket] != hashes[*bucket])
            .take(MAX_BUCKETS_PER_SYNC)
            .collect();
        let link = self.open_link(from, now);
        link.last_sync = Some(now);
        if differing.is_empty() {
            // Any packet carries the digest's root, which tells the peer that nothing is left to
            // compare.
            link.ack_due = Some(now);
        }
        for bucket in differing {
            self.send_bucket(from, bucket as u8, false, now);
        }
    }

    /// Sends the entries of one bucket.
    fn send_bucket(&mut self, to: NodeId, bucket: u8, answer: bool, now: ClockTime) {
        let entries = self.digest.entries(bucket);
        let item = BucketItem {
            bucket,
            answer,
            entries,
        };
        self.open_link(to, now)
            .push_direct(WireItem::BucketKeys(item));
    }

    /// Queues the records that `from` lacks or holds in another version. Sends back the local
    /// bucket if `from` holds records that are missing or different here.
    pub(super) fn compare_keys(&mut self, from: NodeId, item: BucketItem, now: ClockTime) {
        if usize::from(item.bucket) >= BUCKET_COUNT {
            return;
        }
        let own = self.digest.entries(item.bucket);
        let mut keys = Vec::new();
        for entry in &own {
            if !item.entries.contains(entry) {
                keys.extend_from_slice(self.digest.keys(entry.key));
            }
        }
        let mut lacks_records = false;
        for entry in &item.entries {
            if own.contains(entry) {
                continue;
            }
            lacks_records = true;
            // Records that are gone or down are in no bucket, but the peer must learn that they
            // are.
            keys.extend_from_slice(self.digest.keys(entry.key));
        }
        keys.sort_unstable();
        keys.dedup();
        for key in keys {
            self.queue_record(from, key, now);
        }
        if lacks_records && !item.answer {
            self.send_bucket(from, item.bucket, true, now);
        }
    }

    /// Sends the full records that a peer has requested.
    pub(super) fn send_requested(&mut self, from: NodeId, keys: &[u32], now: ClockTime) {
        for short_hash in keys {
            for key in self.digest.keys(*short_hash).to_vec() {
                if let RecordKey::Node(id) = key
                    && let Some(record) = self.nodes.record(id)
                {
                    let item = WireItem::Node(record.into());
                    self.open_link(from, now).push_direct(item);
                } else {
                    self.queue_record(from, key, now);
                }
            }
        }
    }

    /// Queues a record for `to`, for a node together with its blobs.
    fn queue_record(&mut self, to: NodeId, key: RecordKey, now: ClockTime) {
        let kinds = match key {
            RecordKey::Node(id) => self.blobs.kinds(id),
            RecordKey::Endpoint(_) => Vec::new(),
        };
        let link = self.open_link(to, now);
        link.pending.push(UpdatePriority::Normal, key.into());
        if let RecordKey::Node(id) = key {
            for kind in kinds {
                link.pending
                    .push(UpdatePriority::Blob, UpdateKey::Blob(id, kind));
            }
        }
    }
}
