use ragwortroad_types::prelude::*;

/// Parts of an endpoint's capacity that one step of a [`CoarseLoad`] stands for.
const STEPS_PER_CAPACITY: u32 = 16;
/// A change below this many steps is never told.
const MIN_CHANGE_STEPS: u8 = 2;
/// A change below this part of the load is not told.
const RELATIVE_CHANGE_DIVISOR: u8 = 4;

/// An endpoint's load in sixteenths of its capacity, as told to the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CoarseLoad(pub u8);

impl CoarseLoad {
    /// The coarse form of `report` for an endpoint that works on `capacity` requests at once.
    pub fn new(report: &LoadReport, capacity: u32) -> Self {
        let requests = u64::from(report.running) + u64::from(report.queued);
        let steps = (requests * u64::from(STEPS_PER_CAPACITY)).div_ceil(u64::from(capacity.max(1)));
        Self(u8::try_from(steps).unwrap_or(u8::MAX))
    }

    /// About how many requests this is for an endpoint of `capacity`.
    pub fn requests(self, capacity: u32) -> u32 {
        (u32::from(self.0) * capacity).div_ceil(STEPS_PER_CAPACITY)
    }

    /// Whether the fleet should hear of this load after it heard of `told`.
    pub fn is_significant_change_from(self, published: Self) -> bool {
        let change = self.0.abs_diff(published.0);
        let larger_steps = self.0.max(published.0);
        // Falling idle is always told: an idle engine that looks busy is capacity lost.
        let fell_idle = self.0 == 0 && change > 0;
        fell_idle || change >= MIN_CHANGE_STEPS.max(larger_steps / RELATIVE_CHANGE_DIVISOR)
    }
}
