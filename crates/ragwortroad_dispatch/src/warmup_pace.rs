use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EndpointTag,
    WarmupShare, //
};

/// Part of the rate that endpoints tolerate while they warm up which all edges use together.
///
/// The rest is for requests that are held up on their way and arrive together with later ones.
const USED_PART: f64 = 0.8;

/// Least rate of one edge, in requests a second: also an endpoint that tolerates hardly any is tried.
const LEAST_RATE: f64 = 0.1;

/// When an edge may send requests to endpoints that warm up.
///
/// Requests are spaced evenly: whatever second one looks at, an edge has sent its part of the rate
/// and one request more at most.
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
    /// Takes a part that a registry gives to this edge.
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

    /// Whether a request may go to an endpoint that warms up now.
    pub fn may_send(&self, endpoint: EndpointTag, now: ClockTime) -> bool {
        let share = self.shares.get(&endpoint);
        share.is_some_and(|share| now >= share.next_at && now < share.valid_until)
    }

    /// Notes that a request goes there; `per_second` is the rate that the endpoint tolerates.
    pub fn note_sent(&mut self, endpoint: EndpointTag, per_second: f64, now: ClockTime) {
        if let Some(share) = self.shares.get_mut(&endpoint) {
            let rate = per_second * USED_PART / f64::from(share.sharers);
            let rate = rate.max(LEAST_RATE);
            share.next_at = now.after(Duration::from_secs_f64(1.0 / rate));
        }
    }

    /// Forgets parts that are no longer valid.
    pub fn expire(&mut self, now: ClockTime) {
        self.shares.retain(|_, share| now < share.valid_until);
    }
}
