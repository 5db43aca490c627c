/// Sum and count of the loads of one fleet, updated with every change of either.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FleetLoad {
    /// Sum over members that take work.
    total: u64,
    members: u32,
}

impl FleetLoad {
    /// Adds a member with its load.
    pub(crate) fn add(&mut self, load: u32) {
        self.total += u64::from(load);
        self.members += 1;
    }

    /// Removes a member and its load.
    pub(crate) fn remove(&mut self, load: u32) {
        self.total = self.total.saturating_sub(u64::from(load));
        self.members = self.members.saturating_sub(1);
    }

    /// Replaces one member's load.
    pub(crate) fn replace(&mut self, before: u32, after: u32) {
        self.total = self.total.saturating_sub(u64::from(before)) + u64::from(after);
    }

    /// Returns the number of members that take work.
    pub(crate) fn members(&self) -> u32 {
        self.members
    }

    /// Returns the mean load, or 0 without members.
    pub(crate) fn mean(&self) -> f64 {
        if self.members == 0 {
            return 0.0;
        }
        self.total as f64 / f64::from(self.members)
    }
}
