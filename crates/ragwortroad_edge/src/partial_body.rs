use ragwortroad_dispatch::prelude::*;

use crate::edge_state::EdgeShared;

/// The bytes of a body without an announced length, which count for its endpoint until it is dropped.
pub(crate) struct PartialBody<'shared> {
    shared: &'shared EdgeShared,
    endpoint: EndpointKey,
    bytes: usize,
}

impl<'shared> PartialBody<'shared> {
    pub(crate) fn new(shared: &'shared EdgeShared, endpoint: EndpointKey) -> Self {
        Self {
            shared,
            endpoint,
            bytes: 0,
        }
    }

    /// Adds bytes; returns whether the endpoint's bodies stay within the limit.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let after = self.bytes.saturating_add(bytes);
        self.change(after)
    }

    fn change(&mut self, after: usize) -> bool {
        let before = std::mem::replace(&mut self.bytes, after);
        let mut bodies = self.shared.partial_bodies.borrow_mut();
        bodies.change(Some(self.endpoint), before, after)
    }
}

impl Drop for PartialBody<'_> {
    fn drop(&mut self) {
        self.change(0);
    }
}
