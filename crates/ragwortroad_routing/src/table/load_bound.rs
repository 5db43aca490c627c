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

    /// The highest load an admission may lead to in a fleet of `members` with this `mean`.
    ///
    /// Where the mean falls after an admission, the load admitted under the higher mean stands
    /// above the bound. Requests that come and go independently let the mean of `members` loads
    /// vary by about `sqrt(mean / members)`; an admission counts on a mean that has fallen by
    /// `margin` times that. In a large fleet it is next to nothing.
    pub fn for_admission(&self, mean: f64, members: u32, margin: f64) -> u32 {
        let deviation = (mean / f64::from(members.max(1))).sqrt();
        // A limit at or below the mean would push the mean down, and with it the limit again, until
        // a busy fleet refused nearly everything. One above the mean is always within the bound.
        let above_mean = mean.floor() as u32 + 1;
        self.of_mean(mean - margin * deviation).max(above_mean)
    }
}
