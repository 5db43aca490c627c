use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

/// Time that work takes on a VM that is not slowed down by others, in percent.
const USUAL_PERCENT: u16 = 100;

/// Range of plausible times in percent.
const PLAUSIBLE_PERCENT: RangeInclusive<u32> = 10..=2000;

/// Change in percent of the usual time that other processes are told of.
const NOTABLE_CHANGE: u16 = 20;

/// Age from which a figure that has not changed is told again if there is a later one.
const REPEAT_AGE: Duration = Duration::from_millis(400);

/// Shortest and longest age up to which a figure counts in full.
///
/// An endpoint that gets no requests tells no figure. One that has been slow for a moment is likely
/// to be quick again in another; one that has been slow for long is likely to stay so.
const FULL_AGES: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(1000));

/// Time in which a figure that no longer counts in full loses its weight: then the endpoint gets
/// requests again, and tells how long they take.
const FADE_TIME: Duration = Duration::from_millis(800);

/// How long work takes at an endpoint at one moment, as the endpoint told an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeFigure {
    /// Time in percent of the usual one.
    ///
    /// Invariant: plausible, and so not zero.
    pub percent: u16,
    /// When the endpoint told it.
    pub told_at: ClockTime,
}

impl TimeFigure {
    /// Returns a figure told just now; `None` if it is not plausible.
    pub fn new(percent: u32, told_at: ClockTime) -> Option<Self> {
        let percent = Some(percent).filter(|percent| PLAUSIBLE_PERCENT.contains(percent))?;
        let percent = u16::try_from(percent).ok()?;
        Some(Self { percent, told_at })
    }

    /// Returns whether the figure is too old to count.
    pub fn is_expired(&self, now: ClockTime) -> bool {
        let (_, longest) = FULL_AGES;
        now.since(self.told_at) >= longest + FADE_TIME
    }

    /// Returns whether work takes notably more or less time than usual.
    pub fn is_unusual(&self) -> bool {
        self.percent.abs_diff(USUAL_PERCENT) >= NOTABLE_CHANGE
    }

    /// Returns whether a process that knows `before` should learn of this figure.
    pub fn is_news_after(&self, before: Self) -> bool {
        if self.told_at <= before.told_at {
            return false;
        }
        let has_changed = self.percent.abs_diff(before.percent) >= NOTABLE_CHANGE;
        let is_old = self.told_at.since(before.told_at) >= REPEAT_AGE;
        has_changed || (is_old && (before.is_unusual() || self.is_unusual()))
    }

    /// Returns the later of two figures of an endpoint.
    pub fn later(self, other: Self) -> Self {
        match other.told_at > self.told_at {
            true => other,
            false => self,
        }
    }

    /// Returns the figure as a multiple of the usual time; old figures approach 1.
    ///
    /// `lasted` is how long the endpoint had differed from its usual speed when it told the figure.
    pub fn factor(&self, lasted: Duration, now: ClockTime) -> f64 {
        let (shortest, longest) = FULL_AGES;
        let difference = f64::from(self.percent) / f64::from(USUAL_PERCENT) - 1.0;
        let full_age = lasted.clamp(shortest, longest);
        let overage = now.since(self.told_at).saturating_sub(full_age);
        let faded = overage.as_secs_f64() / FADE_TIME.as_secs_f64();
        1.0 + difference * (1.0 - faded).max(0.0)
    }
}
