use std::collections::BTreeMap;

use ragwortroad_types::{
    ClockTime,
    EndpointId, //
};

use crate::OutlierSettings;

/// Endpoints that failed recently, and which of them are ejected.
///
/// An endpoint that fails fast has few requests in flight and looks idle, so that balancing by load
/// alone would send it ever more. It is ejected after a few consecutive failures, returns with a
/// small part of its load, and stays out longer if it fails again. At most a fixed fraction of a
/// fleet is ejected: where most endpoints fail, the cause is elsewhere, and leaving all the load to
/// a few would add an overload.
#[derive(Clone, Debug)]
pub struct OutlierTable {
    settings: OutlierSettings,
    /// Invariant: an endpoint without recent failures has no entry.
    entries: BTreeMap<EndpointId, OutlierEntry>,
}

/// Recent failures of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct OutlierEntry {
    /// Failures since the last success.
    consecutive_failures: u32,
    /// Number of ejections so far.
    ejections: u32,
    /// End of the latest ejection.
    ejected_until: ClockTime,
}

impl OutlierTable {
    /// Creates a table without any failures.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
        }
    }

    /// Whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, endpoint: EndpointId, now: ClockTime) -> bool {
        self.entries
            .get(&endpoint)
            .is_some_and(|entry| entry.ejected_until > now)
    }

    /// Returns the part of `limit` that the endpoint may carry at `now`: none while it is ejected,
    /// then growing linearly from one request to all.
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

    /// Records a successful request.
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

    /// Records a failed request, where `ejected` of the fleet's `count` endpoints are ejected now.
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

    /// Removes an endpoint and its failures.
    pub fn remove(&mut self, endpoint: EndpointId) {
        self.entries.remove(&endpoint);
    }
}

/// Returns how many of `count` endpoints may be ejected at once.
fn max_ejected(share: f64, count: usize) -> usize {
    let max = (share * count as f64).floor() as usize;
    max.max(usize::from(count >= 2))
}
