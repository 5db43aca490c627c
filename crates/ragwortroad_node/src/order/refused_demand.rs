use std::collections::BTreeMap;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

use crate::wire::message_codec::{
    decode,
    encode, //
};

/// Kind of the gossip blob in which a node publishes the requests it refused.
pub(crate) const REFUSED_BLOB: u8 = 1;

/// Maximum number of offers in a blob. An entry takes at most 15 bytes, which keeps the blob below
/// its limit.
const MAX_BLOB_OFFERS: usize = 24;

/// Requests that this node refused for lack of capacity, by the offer they asked for.
///
/// Engines report only the work that reached them. Without these counts a model whose engines are
/// full would seem loaded just to its bound, however many requests are refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedDemand {
    /// Refusals in the current second.
    fresh: BTreeMap<OfferKey, u32>,
    /// Refusals for each second, as a moving average.
    mean: BTreeMap<OfferKey, u32>,
}

impl RefusedDemand {
    /// Counts a refusal if its cause was a lack of capacity.
    pub(crate) fn record(&mut self, offer: OfferKey, code: RefusalCode) {
        if matches!(code, RefusalCode::Overloaded | RefusalCode::NoEndpoint) {
            let count = self.fresh.entry(offer).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Ends a second and returns the blob of refused requests; empty if there were none.
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

    /// Adds the counts in a node's blob to `sum`.
    pub(crate) fn add_blob(sum: &mut BTreeMap<OfferKey, u32>, blob: &[u8]) {
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
