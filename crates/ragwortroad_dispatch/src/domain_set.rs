/// Key of a failure domain within one edge's [`EndpointTable`](crate::EndpointTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DomainKey(pub u32);

/// A set of failure domains, for looking up thousands of endpoints' domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainSet {
    members: Vec<bool>,
}

impl DomainSet {
    /// Creates a set from the membership of each domain, by key.
    pub(crate) fn new(members: Vec<bool>) -> Self {
        Self { members }
    }

    /// Returns whether a domain is in the set.
    pub fn contains(&self, DomainKey(domain): DomainKey) -> bool {
        self.members.get(domain as usize).copied().unwrap_or(false)
    }
}
