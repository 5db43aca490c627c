use std::collections::BTreeMap;

use ragwortroad_routing::LoadBound;

/// Time-weighted load skew (highest over mean load) of the engines of one fleet.
#[derive(Clone, Debug)]
pub(crate) struct SkewTracker {
    bound: LoadBound,
    /// Load of every engine.
    ///
    /// Invariant: `total` is the sum of these loads.
    loads: BTreeMap<usize, u32>,
    /// Number of engines at each load.
    engines_by_load: Vec<u32>,
    total: u64,
    last_ms: u64,
    /// Milliseconds spent at each skew; the keys are hundredths.
    pub(crate) ratio_ms: BTreeMap<u32, u64>,
    /// Total time in which an engine was above the load bound, and the longest period without
    /// interruption.
    pub(crate) above_ms: u64,
    pub(crate) longest_above_ms: u64,
    above_since: Option<u64>,
    /// Time covered so far.
    pub(crate) measured_ms: u64,
    /// The most requests by which an engine exceeded the load bound.
    pub(crate) most_above: u32,
}

impl SkewTracker {
    /// Creates a tracker without engines that starts to measure at `from_ms`.
    pub(crate) fn new(from_ms: u64) -> Self {
        Self {
            bound: LoadBound::default(),
            loads: BTreeMap::new(),
            engines_by_load: Vec::new(),
            total: 0,
            last_ms: from_ms,
            ratio_ms: BTreeMap::new(),
            above_ms: 0,
            longest_above_ms: 0,
            above_since: None,
            measured_ms: 0,
            most_above: 0,
        }
    }

    /// Adds an engine, or updates the load of one already added.
    pub(crate) fn join(&mut self, engine: usize, load: u32, now: u64) {
        self.advance(now);
        self.leave(engine, now);
        self.loads.insert(engine, load);
        self.total += u64::from(load);
        *self.engines_at(load) += 1;
    }

    /// Removes an engine.
    pub(crate) fn leave(&mut self, engine: usize, now: u64) {
        self.advance(now);
        if let Some(load) = self.loads.remove(&engine) {
            self.total -= u64::from(load);
            *self.engines_at(load) -= 1;
        }
    }

    /// Updates an engine's load; an engine that was not added is ignored.
    pub(crate) fn update_load(&mut self, engine: usize, load: u32, now: u64) {
        if self.loads.contains_key(&engine) {
            self.join(engine, load, now);
        }
    }

    /// Returns the load bound of an engine at the current mean load.
    pub(crate) fn load_limit(&self) -> u32 {
        self.bound.of_mean(self.mean())
    }

    /// Accounts for the time up to `now` at the current loads.
    pub(crate) fn advance(&mut self, now: u64) {
        let Some(span) = now.checked_sub(self.last_ms).filter(|span| *span > 0) else {
            return;
        };
        let peak = self.peak();
        let limit = self.load_limit();
        if peak > limit {
            let since = *self.above_since.get_or_insert(self.last_ms);
            self.above_ms += span;
            self.longest_above_ms = self.longest_above_ms.max(now - since);
            self.most_above = self.most_above.max(peak - limit);
        } else {
            self.above_since = None;
        }
        if self.total > 0 {
            let ratio = f64::from(peak) / self.mean();
            *self
                .ratio_ms
                .entry((ratio * 100.0).round() as u32)
                .or_insert(0) += span;
        }
        self.measured_ms += span;
        self.last_ms = now;
    }

    fn mean(&self) -> f64 {
        self.total as f64 / self.loads.len().max(1) as f64
    }

    fn peak(&self) -> u32 {
        let highest_load = self.engines_by_load.iter().rposition(|count| *count > 0);
        highest_load.unwrap_or(0) as u32
    }

    fn engines_at(&mut self, load: u32) -> &mut u32 {
        let index = load as usize;
        if self.engines_by_load.len() <= index {
            self.engines_by_load.resize(index + 1, 0);
        }
        &mut self.engines_by_load[index]
    }
}
