use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EndpointFigures,
    EndpointTag,
    TimeFigure, //
};

/// Largest number of changes reported at once, the slowest endpoints first: thousands of engines
/// would saturate a registry's link.
const MAX_CHANGES: usize = 300;

impl EndpointFigures {
    /// Returns the message that tells a figure of an endpoint, sent at `now`.
    pub fn new(endpoint: EndpointTag, figure: TimeFigure, now: ClockTime) -> Self {
        let age = now.since(figure.told_at).as_millis();
        Self {
            endpoint,
            time_percent: figure.percent,
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
        }
    }

    /// Returns the figure in a message received at `now`; `None` if it is not plausible.
    pub fn figure(&self, now: ClockTime) -> Option<TimeFigure> {
        let age = Duration::from_millis(u64::from(self.age_ms));
        TimeFigure::new(u32::from(self.time_percent), now.before(age))
    }
}

/// Figures that one process has reported to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FigureReport {
    /// Invariant: holds no expired figure after [`changes`](Self::changes).
    reported: BTreeMap<EndpointTag, TimeFigure>,
}

impl FigureReport {
    /// Returns the changes to report so that the receiver knows `current` well enough.
    ///
    /// Nothing is reported of endpoints that work at their usual speed, so the traffic grows with the
    /// endpoints that differ.
    pub fn changes(
        &mut self,
        current: impl IntoIterator<Item = (EndpointTag, TimeFigure)>,
        now: ClockTime,
    ) -> Vec<EndpointFigures> {
        self.reported.retain(|_, figure| !figure.is_expired(now));
        let is_news = |endpoint: &EndpointTag, figure: &TimeFigure| {
            let before = self.reported.get(endpoint);
            before.map_or(figure.is_unusual(), |before| figure.is_news_after(*before))
        };
        let current = current.into_iter();
        let mut changes: Vec<_> = current
            .filter(|(endpoint, figure)| !figure.is_expired(now) && is_news(endpoint, figure))
            .collect();
        if changes.len() > MAX_CHANGES {
            changes.sort_by_key(|(_, figure)| Reverse(figure.percent));
            changes.truncate(MAX_CHANGES);
        }
        self.reported.extend(changes.iter().copied());
        figures_at(changes, now)
    }

    /// Returns all figures reported so far that count, for a process that has just connected.
    pub fn all(&self, now: ClockTime) -> Vec<EndpointFigures> {
        let reported = self.reported.iter();
        let reported = reported.map(|(&endpoint, &figure)| (endpoint, figure));
        figures_at(reported.filter(|(_, figure)| !figure.is_expired(now)), now)
    }
}

fn figures_at(
    figures: impl IntoIterator<Item = (EndpointTag, TimeFigure)>,
    now: ClockTime,
) -> Vec<EndpointFigures> {
    let figures = figures.into_iter();
    figures
        .map(|(endpoint, figure)| EndpointFigures::new(endpoint, figure, now))
        .collect()
}
