use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::{
    EndpointFigures,
    EndpointTag,
    FigureReport,
    LoadSource,
    TimeFigure, //
};

/// Figures of endpoints from all edges, put together by the registries; the latest counts.
///
/// One edge hears an engine every few seconds, all edges together hear it several times a second.
#[derive(Debug, Default)]
pub struct FigureTotals {
    sources: BTreeMap<LoadSource, BTreeMap<EndpointTag, TimeFigure>>,
    /// Figures reported to the other registries.
    peer_report: FigureReport,
    /// Figures published to this registry's edges.
    edge_report: FigureReport,
}

impl FigureTotals {
    /// Applies changed figures of a source.
    pub fn update(&mut self, source: LoadSource, figures: &[EndpointFigures], now: ClockTime) {
        if figures.is_empty() {
            return;
        }
        let known = self.sources.entry(source).or_default();
        for told in figures {
            if let Some(figure) = told.figure(now) {
                known.insert(told.endpoint, figure);
            }
        }
    }

    /// Removes the figures of a source that is gone or reports from the beginning.
    pub fn drop_source(&mut self, source: LoadSource) {
        self.sources.remove(&source);
    }

    /// Returns the changed figures of this registry's own edges, for the other registries.
    pub fn own_changes(&mut self, now: ClockTime) -> Vec<EndpointFigures> {
        let latest = self.latest(|source| matches!(source, LoadSource::Edge(_)));
        self.peer_report.changes(latest, now)
    }

    /// Returns the changed figures of all edges, for this registry's edges.
    pub fn changes(&mut self, now: ClockTime) -> Vec<EndpointFigures> {
        self.sources.retain(|_, known| {
            known.retain(|_, figure| !figure.is_expired(now));
            !known.is_empty()
        });
        let latest = self.latest(|_| true);
        self.edge_report.changes(latest, now)
    }

    /// Returns all figures reported to the other registries, for one that has just connected.
    pub fn own_published(&self, now: ClockTime) -> Vec<EndpointFigures> {
        self.peer_report.all(now)
    }

    /// Returns all figures published to edges, for an edge that has just connected.
    pub fn published(&self, now: ClockTime) -> Vec<EndpointFigures> {
        self.edge_report.all(now)
    }

    fn latest(
        &self,
        is_counted: impl Fn(&LoadSource) -> bool,
    ) -> BTreeMap<EndpointTag, TimeFigure> {
        let counted = self.sources.iter().filter(|(source, _)| is_counted(source));
        let mut latest: BTreeMap<EndpointTag, TimeFigure> = BTreeMap::new();
        for (&endpoint, &figure) in counted.flat_map(|(_, known)| known) {
            let known = latest.entry(endpoint).or_insert(figure);
            *known = known.later(figure);
        }
        latest
    }
}
