use ragwortroad_types::ClockTime;

use crate::{
    CustomerKey,
    CustomerLimit,
    DemandEntry,
    LimiterSettings,
    ShareEntry,
    limit::token_bucket::TokenBucket, //
};

/// One customer at one node.
#[derive(Clone, Debug)]
pub(crate) struct CustomerEntry {
    pub(crate) limit: CustomerLimit,
    pub(crate) requests: TokenBucket,
    pub(crate) tokens: TokenBucket,
    /// Requests at work through this node.
    pub(crate) running: u32,
    /// Requests at work through this node at once, by its share.
    pub(crate) places: u32,
    /// The keeper's share, and when it ends.
    pub(crate) share: Option<(ShareEntry, ClockTime)>,
    /// Requests a second asked for, averaged.
    pub(crate) wanted_rate: f64,
    /// Requests asked for since the last average.
    pub(crate) wanted_count: u32,
    /// Most requests at work or wanted at once since the last digest.
    pub(crate) wanted_places: u32,
    /// When the average was taken.
    pub(crate) averaged_at: ClockTime,
    /// What the keeper was told last, and when.
    pub(crate) told: Option<(DemandEntry, ClockTime)>,
}

impl CustomerEntry {
    /// A customer that has asked for nothing yet.
    pub(crate) fn new(limit: CustomerLimit, now: ClockTime) -> Self {
        Self {
            limit,
            // Full until the first rate is set.
            requests: TokenBucket::new(0.0, f64::MAX, now),
            tokens: TokenBucket::new(0.0, f64::MAX, now),
            running: 0,
            places: 0,
            share: None,
            wanted_rate: 0.0,
            wanted_count: 0,
            wanted_places: 0,
            averaged_at: now,
            told: None,
        }
    }

    /// Sets the rates and places that this node may use, of a fleet of `nodes`.
    ///
    /// The even part is every node's own without asking; the keeper divides the rest by demand.
    pub(crate) fn apply(&mut self, settings: &LimiterSettings, nodes: usize, now: ClockTime) {
        if self.share.is_some_and(|(_, ends_at)| ends_at <= now) {
            self.share = None;
        }
        let nodes = nodes.max(1) as f64;
        let (part, places) = match self.share {
            _ if nodes <= 1.0 => (1.0, self.limit.concurrent),
            Some((share, _)) => {
                let kept = f64::from(share.rate_share) / f64::from(u16::MAX);
                let even = settings.even_share / nodes;
                let part = even + kept * (1.0 - settings.even_share);
                (
                    part,
                    self.even_places(settings, nodes) + u32::from(share.concurrent),
                )
            }
            None => (
                settings.even_share / nodes,
                self.even_places(settings, nodes),
            ),
        };
        self.places = places;
        let rate = self.limit.requests_per_s * part;
        // Below one request the bucket could never let one pass.
        let depth = (rate * settings.burst_s).max(settings.min_burst.max(1.0));
        self.requests.set_rate(rate, depth, now);
        let rate = self.limit.tokens_per_s * part;
        self.tokens.set_rate(rate, rate * settings.burst_s, now);
    }

    /// Places every node has without asking: at least one, or a customer could wait for ever at a
    /// node its keeper never hears of.
    fn even_places(&self, settings: &LimiterSettings, nodes: f64) -> u32 {
        let even = settings.even_share * f64::from(self.limit.concurrent) / nodes;
        (even.floor() as u32).max(1)
    }

    /// Places the keeper may divide: what the even parts of `nodes` leave.
    pub(crate) fn divided_places(&self, settings: &LimiterSettings, nodes: usize) -> u32 {
        let even = self.even_places(settings, nodes.max(1) as f64) * nodes as u32;
        self.limit.concurrent.saturating_sub(even)
    }

    /// Brings the average of demand up to now.
    pub(crate) fn average(&mut self, settings: &LimiterSettings, now: ClockTime) {
        let span = now.since(self.averaged_at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let keep = (-span / settings.demand_window.as_secs_f64().max(0.001)).exp();
        let rate = f64::from(self.wanted_count) / span;
        self.wanted_rate = self.wanted_rate * keep + rate * (1.0 - keep);
        self.wanted_count = 0;
        self.averaged_at = now;
    }

    /// What the keeper must hear now, if anything.
    ///
    /// A demand the even part covers needs no share; one that hardly changed needs no message.
    pub(crate) fn tell(
        &mut self,
        customer: CustomerKey,
        settings: &LimiterSettings,
        nodes: usize,
        now: ClockTime,
    ) -> Option<DemandEntry> {
        self.average(settings, now);
        let places = self.wanted_places.max(self.running);
        self.wanted_places = self.running;
        let nodes = nodes.max(1) as f64;
        let even_rate = self.limit.requests_per_s * settings.even_share / nodes;
        if self.wanted_rate <= even_rate && places <= self.even_places(settings, nodes) {
            return None;
        }
        let entry = DemandEntry {
            customer,
            requests_per_10_s: (self.wanted_rate * 10.0).ceil().min(f64::from(u16::MAX)) as u16,
            concurrent: places.min(u32::from(u16::MAX)) as u16,
        };
        let silent = self.told.is_some_and(|(told, at)| {
            now.since(at) < settings.resend_interval && !self.differs(told, entry, settings)
        });
        if silent {
            return None;
        }
        self.told = Some((entry, now));
        Some(entry)
    }

    fn differs(&self, told: DemandEntry, entry: DemandEntry, settings: &LimiterSettings) -> bool {
        let rate = self.limit.requests_per_s * 10.0 * settings.resend_change;
        let rates = entry.requests_per_10_s.abs_diff(told.requests_per_10_s);
        let places = f64::from(self.limit.concurrent) * settings.resend_change;
        let concurrent = entry.concurrent.abs_diff(told.concurrent);
        f64::from(rates) > rate.max(1.0) || f64::from(concurrent) > places.max(1.0)
    }
}
