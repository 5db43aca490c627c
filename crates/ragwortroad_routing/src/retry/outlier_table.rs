use std::collections::BTreeMap;

use ragwortroad_types::{
    ClockTime,
    EndpointId, //
};

use crate::OutlierSettings;

/// Endpoints that failed lately, and those set aside for it.
///
/// An endpoint that fails fast has few requests at any moment and would look idle, so that load
/// alone sends it ever more. It is set aside after a few failures in a row, comes since_return with a small
/// share of its work, and goes for longer when it fails again. Never more than a set share of a
/// fleet is aside: where max fail, the cause is elsewhere, and leaving few endpoints with all the
/// work would add an overload to it.
#[derive(Clone, Debug)]
pub struct OutlierTable {
    settings: OutlierSettings,
    /// Invariant: an endpoint without recent failures has no entry.
    entries: BTreeMap<EndpointId, OutlierEntry>,
}

/// One endpoint that failed lately.
#[derive(Clone, Copy, Debug, Default)]
struct OutlierEntry {
    /// Failures since the last success.
    consecutive_failures: u32,
    /// Times it was set aside.
    ejections: u32,
    /// The end of the last time.
    ejected_until: ClockTime,
}

impl OutlierTable {
    /// A table in which nothing has failed.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
        }
    }

    /// Whether the endpoint is set aside now.
    pub fn is_ejected(&self, endpoint: EndpointId, now: ClockTime) -> bool {
        self.entries
            .get(&endpoint)
            .is_some_and(|entry| entry.ejected_until > now)
    }

    /// The part of `limit` that the endpoint may carry now: nothing while it is aside, then growing
    /// from one request to all.
    pub fn ramped_limit(&self, endpoint: EndpointId, limit: u32, now: ClockTime) -> u32 {
        let Some(entry) = self
            .entries
            .get(&endpoint)
            .filter(|entry| entry.ejections > 0)
        else {
            return limit;
        };
        if entry.ejected_until > now {
            return 0;
        }
        let since_return = now.since(entry.ejected_until).as_secs_f64();
        let share = since_return / self.settings.recovery_ramp.as_secs_f64().max(0.001);
        ((f64::from(limit) * share.min(1.0)).round() as u32).max(1)
    }

    /// Notes a success.
    pub fn record_success(&mut self, endpoint: EndpointId, now: ClockTime) {
        let recovery_ramp = self.settings.recovery_ramp;
        let Some(entry) = self.entries.get_mut(&endpoint) else {
            return;
        };
        entry.consecutive_failures = 0;
        if entry.ejected_until.after(recovery_ramp) <= now {
            self.entries.remove(&endpoint);
        }
    }

    /// Notes a failure; `ejected` of the fleet's `count` endpoints are aside now.
    pub fn record_failure(
        &mut self,
        endpoint: EndpointId,
        ejected: usize,
        count: usize,
        now: ClockTime,
    ) {
        let settings = self.settings;
        let entry = self.entries.entry(endpoint).or_default();
        entry.consecutive_failures += 1;
        let was_ejected = entry.ejections > 0;
        if entry.ejected_until > now
            || (entry.consecutive_failures < settings.consecutive_failures && !was_ejected)
        {
            return;
        }
        if ejected >= max_ejected(settings.max_ejected_share, count) {
            return;
        }
        let span = settings.first_ejection * 2_u32.saturating_pow(entry.ejections.min(16));
        entry.ejected_until = now.after(span.min(settings.max_ejection));
        entry.ejections += 1;
        entry.consecutive_failures = 0;
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, endpoint: EndpointId) {
        self.entries.remove(&endpoint);
    }
}

/// How many of `count` endpoints may be aside at once.
fn max_ejected(share: f64, count: usize) -> usize {
    let max = (share * count as f64).floor() as usize;
    max.max(usize::from(count >= 2))
}
