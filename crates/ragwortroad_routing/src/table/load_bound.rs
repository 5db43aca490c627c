/// The load above which an endpoint receives no requests: a multiple of the fleet mean, rounded up.
///
/// *Load* is the number of requests that were admitted to an endpoint and not yet released. The
/// *fleet mean* is the sum of loads over all present endpoints of one fleet that take work, divided
/// by their number. The bound is `max(ceil(multiple × mean), floor)`: below `floor` requests, one
/// request more or less is a large multiple of the mean and does no harm.
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
    /// Highest load, as a multiple of the mean.
    pub multiple: f64,
    /// Load up to which an endpoint is always within the bound.
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
    /// Returns the highest load within the bound at a fleet mean of `mean`.
    pub fn of_mean(&self, mean: f64) -> u32 {
        // A product such as 1.25 × 8 may come out slightly above 10 and must not round up to 11.
        const ROUNDING_SLACK: f64 = 1e-9;
        let scaled = (self.multiple * mean - ROUNDING_SLACK).ceil().max(0.0);
        (scaled as u32).max(self.floor)
    }

    /// Returns the highest load that an admission may lead to in a fleet of `members` with this
    /// `mean`.
    ///
    /// If the mean falls after an admission, the load admitted under the higher mean exceeds the
    /// bound. With independent arrivals and ends, the mean of `members` loads varies by about
    /// `sqrt(mean / members)`, so that an admission assumes a mean that is lower by `margin` times
    /// that. In a large fleet the difference is negligible.
    pub fn for_admission(&self, mean: f64, members: u32, margin: f64) -> u32 {
        let deviation = (mean / f64::from(members.max(1))).sqrt();
        // A limit at or below the mean would lower the mean and with it the limit again, until a
        // busy fleet refused nearly everything. The first load above the mean is always within the
        // bound.
        let above_mean = mean.floor() as u32 + 1;
        self.of_mean(mean - margin * deviation).max(above_mean)
    }
}
