use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    record_key::RecordKey,
    wire::wire_item::BucketEntry, //
};

/// Buckets that records are sorted into by their short names.
pub(crate) const BUCKET_COUNT: usize = 32;

/// Hashes over all records, to tell cheaply whether and where two views differ.
///
/// Records of nodes that are down and endpoints that are gone are not part of it: nodes forget
/// them at different times, and views would differ for ever.
#[derive(Debug, Default)]
pub(crate) struct SyncDigest {
    /// Hash of each record's version by its short name and key.
    ///
    /// Invariant: `buckets` is the exclusive-or of these, bucket by bucket.
    versions: HashMap<RecordKey, u32>,
    /// Keys by short name, present or not.
    keys_by_hash: HashMap<u32, Vec<RecordKey>>,
    /// Hash of each bucket.
    buckets: [u32; BUCKET_COUNT],
}

impl SyncDigest {
    /// Notes that `key` now has a version with this hash, or is no part of the digest.
    pub(crate) fn set(&mut self, key: RecordKey, version: Option<u32>) {
        let bucket = &mut self.buckets[bucket_of(key.short_hash())];
        let previous = match version {
            Some(hash) => self.versions.insert(key, hash),
            None => self.versions.remove(&key),
        };
        *bucket ^= previous.unwrap_or(0) ^ version.unwrap_or(0);
        let keys = self.keys_by_hash.entry(key.short_hash()).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    /// Forgets `key` altogether.
    pub(crate) fn forget(&mut self, key: RecordKey) {
        self.set(key, None);
        if let Some(keys) = self.keys_by_hash.get_mut(&key.short_hash()) {
            keys.retain(|known| *known != key);
            if keys.is_empty() {
                self.keys_by_hash.remove(&key.short_hash());
            }
        }
    }

    /// One hash over everything.
    pub(crate) fn root(&self) -> u32 {
        let mut bytes = Vec::with_capacity(BUCKET_COUNT * 4);
        for bucket in self.buckets {
            bytes.extend_from_slice(&bucket.to_le_bytes());
        }
        xxh3_64(&bytes) as u32
    }

    /// The hash of each bucket, shortened.
    pub(crate) fn bucket_hashes(&self) -> Vec<u16> {
        self.buckets
            .iter()
            .map(|bucket| (bucket ^ (bucket >> 16)) as u16)
            .collect()
    }

    /// What is in `bucket`, ordered.
    pub(crate) fn entries(&self, bucket: u8) -> Vec<BucketEntry> {
        let mut entries: Vec<BucketEntry> = self
            .versions
            .iter()
            .map(|(key, version)| BucketEntry {
                key: key.short_hash(),
                version: *version as u16,
            })
            .filter(|entry| bucket_of(entry.key) == usize::from(bucket))
            .collect();
        entries.sort_unstable_by_key(|entry| (entry.key, entry.version));
        entries
    }

    /// The records that `short` may name.
    pub(crate) fn keys(&self, short_hash: u32) -> &[RecordKey] {
        self.keys_by_hash
            .get(&short_hash)
            .map_or(&[], Vec::as_slice)
    }
}

/// The bucket of a short name.
fn bucket_of(short_hash: u32) -> usize {
    short_hash as usize % BUCKET_COUNT
}

/// A hash over what decides about a record's age.
pub(crate) fn version_hash(key: RecordKey, parts: [u64; 3]) -> u32 {
    let mut bytes = Vec::with_capacity(28);
    bytes.extend_from_slice(&key.short_hash().to_le_bytes());
    for part in parts {
        bytes.extend_from_slice(&part.to_le_bytes());
    }
    xxh3_64(&bytes) as u32
}
