use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EndpointTag,
    WarmupShare, //
};

/// Share of the rate tolerated by warming endpoints that all edges use together.
///
/// The rest covers requests that are delayed on their way and arrive together with later ones.
const USED_RATIO: f64 = 0.8;

/// Lowest rate of one edge in requests per second, so that endpoints which tolerate hardly any
/// requests are tried too.
const MIN_EDGE_RATE: f64 = 0.1;

/// Paces one edge's requests to warming endpoints.
///
/// Requests are evenly spaced: in any second, an edge sends at most its share of the rate plus one
/// request.
#[derive(Debug, Default)]
pub struct WarmupPace {
    shares: BTreeMap<EndpointTag, SharePace>,
}

#[derive(Clone, Copy, Debug)]
struct SharePace {
    sharers: u32,
    valid_until: ClockTime,
    /// Earliest time of the next request.
    next_at: ClockTime,
}

impl WarmupPace {
    /// Adds a share assigned to this edge by a registry, or renews it.
    pub fn add_share(&mut self, share: WarmupShare, now: ClockTime) {
        let known = self.shares.get(&share.endpoint);
        let next_at = known.map_or(now, |known| known.next_at.max(now));
        let pace = SharePace {
            sharers: share.sharers.max(1),
            valid_until: now.after(Duration::from_millis(share.valid_ms.into())),
            next_at,
        };
        self.shares.insert(share.endpoint, pace);
    }

    /// Returns whether a request may be sent to a warming endpoint now.
    pub fn may_send(&self, endpoint: EndpointTag, now: ClockTime) -> bool {
        let share = self.shares.get(&endpoint);
        share.is_some_and(|share| now >= share.next_at && now < share.valid_until)
    }

    /// Records that a request is sent; `per_second` is the rate that the endpoint tolerates.
    pub fn note_sent(&mut self, endpoint: EndpointTag, per_second: f64, now: ClockTime) {
        if let Some(share) = self.shares.get_mut(&endpoint) {
            let rate = per_second * USED_RATIO / f64::from(share.sharers);
            let rate = rate.max(MIN_EDGE_RATE);
            share.next_at = now.after(Duration::from_secs_f64(1.0 / rate));
        }
    }

    /// Removes expired shares.
    pub fn expire(&mut self, now: ClockTime) {
        self.shares.retain(|_, share| now < share.valid_until);
    }
}
