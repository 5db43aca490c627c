use ragwortroad_types::prelude::*;

/// Number of steps of a [`CoarseLoad`] that make up an endpoint's full capacity.
const STEPS_PER_CAPACITY: u32 = 16;
/// Changes of fewer steps are not published.
const MIN_CHANGE_STEPS: u8 = 2;
/// Changes of less than the larger of the two loads divided by this are not published.
const RELATIVE_CHANGE_DIVISOR: u8 = 4;

/// An endpoint's load in sixteenths of its capacity, as published to the whole fleet.
///
/// The value saturates at 255 steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CoarseLoad(pub u8);

impl CoarseLoad {
    /// Rounds `report` up to whole steps for an endpoint with this `capacity` of concurrent
    /// requests.
    pub fn new(report: &LoadReport, capacity: u32) -> Self {
        let requests = u64::from(report.running) + u64::from(report.queued);
        let steps = (requests * u64::from(STEPS_PER_CAPACITY)).div_ceil(u64::from(capacity.max(1)));
        Self(u8::try_from(steps).unwrap_or(u8::MAX))
    }

    /// Estimates the number of requests this load stands for, given the endpoint's `capacity`.
    pub fn requests(self, capacity: u32) -> u32 {
        (u32::from(self.0) * capacity).div_ceil(STEPS_PER_CAPACITY)
    }

    /// Whether this load differs enough from the last `published` one to publish it.
    pub fn is_significant_change_from(self, published: Self) -> bool {
        let change = self.0.abs_diff(published.0);
        let larger_steps = self.0.max(published.0);
        // A drop to zero is always published: an idle engine that looks busy wastes capacity.
        let fell_idle = self.0 == 0 && change > 0;
        fell_idle || change >= MIN_CHANGE_STEPS.max(larger_steps / RELATIVE_CHANGE_DIVISOR)
    }
}
