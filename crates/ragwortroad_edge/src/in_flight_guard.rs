use std::rc::Rc;

use ragwortroad_dispatch::prelude::*;

use crate::edge_state::EdgeShared;

/// A request at an endpoint, counted there until this is dropped.
///
/// A count that is not taken back on some path would close the endpoint for good.
pub(crate) struct InFlightGuard {
    shared: Rc<EdgeShared>,
    key: EndpointKey,
}

impl InFlightGuard {
    /// Counts a request at an endpoint.
    pub(crate) fn new(shared: &Rc<EdgeShared>, key: EndpointKey) -> Self {
        shared.state.borrow_mut().load_mut(key).begin();
        Self {
            shared: Rc::clone(shared),
            key,
        }
    }

    /// The endpoint.
    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().load_mut(self.key).end();
    }
}
