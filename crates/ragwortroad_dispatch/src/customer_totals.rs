use std::collections::BTreeMap;

use crate::{
    CustomerLoad,
    CustomerReport,
    LoadSource,
    ShareKey, //
};

/// Uses of services by customers, summed up by the registries together.
///
/// Each registry sums up its own edges, sends the sums to the other registries and the totals to
/// its edges. Reports are absolute values, so one that comes twice counts once.
#[derive(Debug, Default)]
pub struct CustomerTotals {
    sources: BTreeMap<LoadSource, BTreeMap<ShareKey, CustomerLoad>>,
    /// Uses last reported to the other registries.
    report: CustomerReport,
    /// Totals last published to this registry's edges.
    published: CustomerReport,
}

impl CustomerTotals {
    /// Applies changed uses of a source.
    pub fn update(&mut self, source: LoadSource, loads: &[CustomerLoad]) {
        let known = self.sources.entry(source).or_default();
        for load in loads {
            let key = ShareKey::from(load);
            match load.is_empty() {
                true => known.remove(&key),
                false => known.insert(key, *load),
            };
        }
        if known.is_empty() {
            self.sources.remove(&source);
        }
    }

    /// Removes the uses of a source that is gone or reports from the beginning.
    pub fn drop_source(&mut self, source: LoadSource) {
        self.sources.remove(&source);
    }

    /// Returns the changes of this registry's own sums since the last call, for the other
    /// registries.
    pub fn own_changes(&mut self) -> Vec<CustomerLoad> {
        let own = self.sum(|source| matches!(source, LoadSource::Edge(_)));
        self.report.changes(&own)
    }

    /// Returns all sums reported to the other registries so far, for one that has just connected.
    pub fn own_published(&self) -> Vec<CustomerLoad> {
        self.report.loads().copied().collect()
    }

    /// Returns the changed totals to publish to this registry's edges.
    pub fn changes(&mut self) -> Vec<CustomerLoad> {
        let totals = self.sum(|_| true);
        self.published.changes(&totals)
    }

    /// Returns all totals published so far, for an edge that has just connected.
    pub fn published(&self) -> Vec<CustomerLoad> {
        self.published.loads().copied().collect()
    }

    fn sum(&self, is_counted: impl Fn(&LoadSource) -> bool) -> BTreeMap<ShareKey, CustomerLoad> {
        let mut sums = BTreeMap::new();
        let sources = self.sources.iter();
        let counted = sources.filter(|(source, _)| is_counted(source));
        for (key, load) in counted.flat_map(|(_, loads)| loads) {
            let sum = sums.entry(*key).or_insert(CustomerLoad {
                running: 0,
                wanted: 0,
                ..*load
            });
            sum.running = sum.running.saturating_add(load.running);
            sum.wanted = sum.wanted.saturating_add(load.wanted);
        }
        sums
    }
}
