use std::rc::Rc;

use ragwortroad_dispatch::prelude::*;

use crate::edge_state::EdgeShared;

/// Counts a request as in flight at an endpoint until dropped.
///
/// If any path failed to decrement the count, the endpoint would appear fully loaded permanently.
pub(crate) struct InFlightGuard {
    shared: Rc<EdgeShared>,
    key: EndpointKey,
}

impl InFlightGuard {
    /// Increments the endpoint's number of in-flight requests.
    pub(crate) fn new(shared: &Rc<EdgeShared>, key: EndpointKey) -> Self {
        shared.state.borrow_mut().load_mut(key).start_request();
        Self {
            shared: Rc::clone(shared),
            key,
        }
    }

    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .state
            .borrow_mut()
            .load_mut(self.key)
            .finish_request();
    }
}
