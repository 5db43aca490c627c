/// Set of ready endpoints of one service, by their position in [`EndpointTable::ready`].
///
/// [`EndpointTable::ready`]: crate::EndpointTable::ready
#[derive(Clone, Debug, Default)]
pub struct ReadySet {
    members: Vec<bool>,
}

impl ReadySet {
    /// Creates a set from the membership of each position.
    pub(crate) fn new(members: Vec<bool>) -> Self {
        Self { members }
    }

    /// Returns whether the endpoint at a position is in the set.
    pub fn contains(&self, position: usize) -> bool {
        self.members.get(position).copied().unwrap_or(false)
    }
}
