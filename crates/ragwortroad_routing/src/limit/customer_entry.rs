use ragwortroad_types::ClockTime;

use crate::{
    CustomerKey,
    CustomerLimit,
    DemandEntry,
    LimiterSettings,
    ShareEntry,
    limit::token_bucket::TokenBucket, //
};

/// State of one customer at one node.
#[derive(Clone, Debug)]
pub(crate) struct CustomerEntry {
    pub(crate) limit: CustomerLimit,
    pub(crate) requests: TokenBucket,
    pub(crate) tokens: TokenBucket,
    /// Requests of the customer in flight through this node.
    pub(crate) running: u32,
    /// Most requests that may be in flight through this node at once.
    pub(crate) max_concurrent: u32,
    /// The share that the coordinator last sent, and when it expires.
    pub(crate) share: Option<(ShareEntry, ClockTime)>,
    /// Average requests per second, refused ones included.
    pub(crate) demand_rate: f64,
    /// Requests received since the average was last updated.
    pub(crate) demand_count: u32,
    /// Highest number of requests in flight or refused for concurrency since the last digest.
    pub(crate) peak_concurrency: u32,
    /// When `demand_rate` was last updated.
    pub(crate) averaged_at: ClockTime,
    /// The demand last sent to the coordinator, and when.
    pub(crate) last_sent: Option<(DemandEntry, ClockTime)>,
}

impl CustomerEntry {
    /// Creates the entry of a customer without any requests so far.
    pub(crate) fn new(limit: CustomerLimit, now: ClockTime) -> Self {
        Self {
            limit,
            // Full until the first rate is set.
            requests: TokenBucket::new(0.0, f64::MAX, now),
            tokens: TokenBucket::new(0.0, f64::MAX, now),
            running: 0,
            max_concurrent: 0,
            share: None,
            demand_rate: 0.0,
            demand_count: 0,
            peak_concurrency: 0,
            averaged_at: now,
            last_sent: None,
        }
    }

    /// Sets the rates and the concurrency that this node may use in a fleet of `nodes`.
    ///
    /// A fraction of each limit, the even part, is divided evenly among the nodes and needs no
    /// share from the coordinator, which divides the rest by demand.
    pub(crate) fn update_allowance(
        &mut self,
        settings: &LimiterSettings,
        nodes: usize,
        now: ClockTime,
    ) {
        if self.share.is_some_and(|(_, ends_at)| ends_at <= now) {
            self.share = None;
        }
        let nodes = nodes.max(1) as f64;
        let (part, concurrency) = match self.share {
            _ if nodes <= 1.0 => (1.0, self.limit.concurrent),
            Some((share, _)) => {
                let fraction = f64::from(share.rate_share) / f64::from(u16::MAX);
                let even = settings.even_share / nodes;
                let part = even + fraction * (1.0 - settings.even_share);
                (
                    part,
                    self.even_concurrency(settings, nodes) + u32::from(share.concurrent),
                )
            }
            None => (
                settings.even_share / nodes,
                self.even_concurrency(settings, nodes),
            ),
        };
        self.max_concurrent = concurrency;
        let rate = self.limit.requests_per_s * part;
        // A bucket shallower than one request would never let one pass.
        let depth = (rate * settings.burst_s).max(settings.min_burst.max(1.0));
        self.requests.set_rate(rate, depth, now);
        let rate = self.limit.tokens_per_s * part;
        self.tokens.set_rate(rate, rate * settings.burst_s, now);
    }

    /// Concurrency that every node has without asking. It is at least one, because otherwise a
    /// customer could wait forever at a node whose demand never reaches its coordinator.
    fn even_concurrency(&self, settings: &LimiterSettings, nodes: f64) -> u32 {
        let even = settings.even_share * f64::from(self.limit.concurrent) / nodes;
        (even.floor() as u32).max(1)
    }

    /// Concurrency that the coordinator may divide: what the even parts of all `nodes` leave over.
    pub(crate) fn divisible_concurrency(&self, settings: &LimiterSettings, nodes: usize) -> u32 {
        let even = self.even_concurrency(settings, nodes.max(1) as f64) * nodes as u32;
        self.limit.concurrent.saturating_sub(even)
    }

    /// Updates the moving average of demand to `now`.
    pub(crate) fn update_average(&mut self, settings: &LimiterSettings, now: ClockTime) {
        let span = now.since(self.averaged_at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let decay = (-span / settings.demand_window.as_secs_f64().max(0.001)).exp();
        let rate = f64::from(self.demand_count) / span;
        self.demand_rate = self.demand_rate * decay + rate * (1.0 - decay);
        self.demand_count = 0;
        self.averaged_at = now;
    }

    /// Returns the demand to send to the coordinator now, if any.
    ///
    /// Demand that the even part covers needs no share, and demand that hardly changed needs no
    /// message.
    pub(crate) fn next_demand(
        &mut self,
        customer: CustomerKey,
        settings: &LimiterSettings,
        nodes: usize,
        now: ClockTime,
    ) -> Option<DemandEntry> {
        self.update_average(settings, now);
        let concurrency = self.peak_concurrency.max(self.running);
        self.peak_concurrency = self.running;
        let nodes = nodes.max(1) as f64;
        let even_rate = self.limit.requests_per_s * settings.even_share / nodes;
        if self.demand_rate <= even_rate && concurrency <= self.even_concurrency(settings, nodes) {
            return None;
        }
        let entry = DemandEntry {
            customer,
            requests_per_10_s: (self.demand_rate * 10.0).ceil().min(f64::from(u16::MAX)) as u16,
            concurrent: concurrency.min(u32::from(u16::MAX)) as u16,
        };
        let is_redundant = self.last_sent.is_some_and(|(last_sent, at)| {
            now.since(at) < settings.resend_interval
                && !self.has_changed(last_sent, entry, settings)
        });
        if is_redundant {
            return None;
        }
        self.last_sent = Some((entry, now));
        Some(entry)
    }

    fn has_changed(
        &self,
        last_sent: DemandEntry,
        entry: DemandEntry,
        settings: &LimiterSettings,
    ) -> bool {
        let rate = self.limit.requests_per_s * 10.0 * settings.resend_change;
        let rates = entry
            .requests_per_10_s
            .abs_diff(last_sent.requests_per_10_s);
        let concurrency = f64::from(self.limit.concurrent) * settings.resend_change;
        let concurrent = entry.concurrent.abs_diff(last_sent.concurrent);
        f64::from(rates) > rate.max(1.0) || f64::from(concurrent) > concurrency.max(1.0)
    }
}
