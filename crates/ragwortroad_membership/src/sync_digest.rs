use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    record_key::RecordKey,
    wire::wire_item::BucketEntry, //
};

/// Number of buckets that records are assigned to by their short hashes.
pub(crate) const BUCKET_COUNT: usize = 32;

/// Hashes over all records, used to detect cheaply whether and where two views differ.
///
/// Nodes that are down and endpoints that are gone are left out: nodes remove them at different
/// times, so that views would never become equal.
#[derive(Debug, Default)]
pub(crate) struct SyncDigest {
    /// Hash of each record's version.
    ///
    /// Invariant: each entry of `buckets` is the exclusive or of the hashes in that bucket.
    versions: HashMap<RecordKey, u32>,
    /// Keys by short hash, including records that are not part of the digest.
    keys_by_hash: HashMap<u32, Vec<RecordKey>>,
    buckets: [u32; BUCKET_COUNT],
}

impl SyncDigest {
    /// Sets the version hash of `key`; `None` takes the record out of the digest.
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

    /// Removes all entries of `key`.
    pub(crate) fn forget(&mut self, key: RecordKey) {
        self.set(key, None);
        if let Some(keys) = self.keys_by_hash.get_mut(&key.short_hash()) {
            keys.retain(|known| *known != key);
            if keys.is_empty() {
                self.keys_by_hash.remove(&key.short_hash());
            }
        }
    }

    /// Returns one hash over all buckets.
    pub(crate) fn root(&self) -> u32 {
        let mut bytes = Vec::with_capacity(BUCKET_COUNT * 4);
        for bucket in self.buckets {
            bytes.extend_from_slice(&bucket.to_le_bytes());
        }
        xxh3_64(&bytes) as u32
    }

    /// Returns the hash of each bucket, folded to 16 bits.
    pub(crate) fn bucket_hashes(&self) -> Vec<u16> {
        self.buckets
            .iter()
            .map(|bucket| (bucket ^ (bucket >> 16)) as u16)
            .collect()
    }

    /// Returns the entries of `bucket`, sorted.
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

    /// Returns the records that have this short hash.
    pub(crate) fn keys(&self, short_hash: u32) -> &[RecordKey] {
        self.keys_by_hash
            .get(&short_hash)
            .map_or(&[], Vec::as_slice)
    }
}

fn bucket_of(short_hash: u32) -> usize {
    short_hash as usize % BUCKET_COUNT
}

/// Hashes the parts of a record's version.
pub(crate) fn version_hash(key: RecordKey, parts: [u64; 3]) -> u32 {
    let mut bytes = Vec::with_capacity(28);
    bytes.extend_from_slice(&key.short_hash().to_le_bytes());
    for part in parts {
        bytes.extend_from_slice(&part.to_le_bytes());
    }
    xxh3_64(&bytes) as u32
}
