/// Sum and number of the loads of one fleet, kept up with every change of either.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FleetLoad {
    /// Sum over members that take work.
    total: u64,
    /// Members that take work.
    members: u32,
}

impl FleetLoad {
    /// Counts a member in.
    pub(crate) fn add(&mut self, load: u32) {
        self.total += u64::from(load);
        self.members += 1;
    }

    /// Counts a member out.
    pub(crate) fn remove(&mut self, load: u32) {
        self.total = self.total.saturating_sub(u64::from(load));
        self.members = self.members.saturating_sub(1);
    }

    /// Replaces a member's load.
    pub(crate) fn replace(&mut self, before: u32, after: u32) {
        self.total = self.total.saturating_sub(u64::from(before)) + u64::from(after);
    }

    /// Members that take work.
    pub(crate) fn members(&self) -> u32 {
        self.members
    }

    /// The mean load.
    pub(crate) fn mean(&self) -> f64 {
        if self.members == 0 {
            return 0.0;
        }
        self.total as f64 / f64::from(self.members)
    }
}
