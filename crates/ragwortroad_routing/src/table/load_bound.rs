/// The load beyond which an endpoint gets no work: `multiple × fleet mean`, rounded.
///
/// *Load* is the number of requests that were admitted to an endpoint and not yet given back. The
/// *fleet mean* is the sum of loads over all present endpoints of one fleet that take work, divided
/// by their number. The bound is `max(ceil(multiple × mean), floor)`: below `floor` requests one
/// request more or less is a large multiple of the mean and harms nobody.
///
/// ```
/// use ragwortroad_routing::LoadBound;
///
/// let bound = LoadBound { multiple: 1.25, floor: 4 };
/// assert_eq!(bound.of_mean(10.0), 13);
/// assert_eq!(bound.of_mean(1.0), 4);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// How far above the mean an endpoint may be.
    pub multiple: f64,
    /// Up to this load an endpoint is never above its bound.
    pub floor: u32,
}

impl Default for LoadBound {
    fn default() -> Self {
        Self {
            multiple: 1.25,
            floor: 4,
        }
    }
}

impl LoadBound {
    /// The highest load within the bound at a fleet mean of `mean`.
    pub fn of_mean(&self, mean: f64) -> u32 {
        // A product such as 1.25 × 8 may come out a hair above 10 and must not round up to 11.
        const ROUNDING_SLACK: f64 = 1e-9;
        let scaled = (self.multiple * mean - ROUNDING_SLACK).ceil().max(0.0);
        (scaled as u32).max(self.floor)
    }

    /// The highest load an admission may lead to when the mean is known late.
    ///
    /// Where the mean falls after an admission, the load admitted under the older, higher mean
    /// would stand above the bound. Admitting only up to `share` of the way from the mean to the
    /// bound leaves room for that fall.
    pub fn for_admission(&self, mean: f64, share: f64) -> u32 {
        let multiple = 1.0 + (self.multiple - 1.0) * share;
        Self { multiple, ..*self }.of_mean(mean)
    }
}
