use std::collections::BTreeMap;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

use crate::wire::message_codec::{
    decode,
    encode, //
};

/// The kind of the blob in which a node tells what it refused.
pub(crate) const REFUSED_BLOB: u8 = 1;

/// Offers told at the most; an entry has at most 15 bytes, so the blob stays below its limit.
const MAX_BLOB_OFFERS: usize = 24;

/// Requests that this node refused for want of room, by what they asked for.
///
/// Engines report only work that reached them. Without this a model whose engines are full would
/// look exactly as loaded as its bound allows, however many callers are turned away.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedDemand {
    /// Since the last second.
    fresh: BTreeMap<OfferKey, u32>,
    /// A second's refusals, as a moving mean.
    mean: BTreeMap<OfferKey, u32>,
}

impl RefusedDemand {
    /// A request was refused.
    pub(crate) fn note(&mut self, offer: OfferKey, code: RefusalCode) {
        if matches!(code, RefusalCode::Overloaded | RefusalCode::NoEndpoint) {
            let count = self.fresh.entry(offer).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Ends a second; the blob that tells what was refused, empty where nothing was.
    pub(crate) fn end_second(&mut self) -> Vec<u8> {
        for (offer, mean) in &mut self.mean {
            let fresh = self.fresh.remove(offer).unwrap_or(0);
            *mean = mean.saturating_add(fresh) / 2;
        }
        self.mean.append(&mut self.fresh);
        self.mean.retain(|_, mean| *mean > 0);
        let mut entries: Vec<(u64, u32)> = self.mean.iter().map(|(key, n)| (key.0, *n)).collect();
        entries.sort_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        entries.truncate(MAX_BLOB_OFFERS);
        match entries.is_empty() {
            true => Vec::new(),
            false => encode(&entries),
        }
    }

    /// Adds what a node told to `sum`.
    pub(crate) fn add(sum: &mut BTreeMap<OfferKey, u32>, blob: &[u8]) {
        if blob.is_empty() {
            return;
        }
        let entries: Option<Vec<(u64, u32)>> = decode(blob);
        for (key, count) in entries.into_iter().flatten().take(MAX_BLOB_OFFERS) {
            let total = sum.entry(OfferKey(key)).or_default();
            *total = total.saturating_add(count);
        }
    }
}
