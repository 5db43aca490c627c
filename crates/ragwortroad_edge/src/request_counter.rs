use std::rc::Rc;

use crate::edge_state::EdgeShared;

/// Counts a request as in flight until its response is ready, or until its body has been discarded;
/// a streamed response takes over the count.
pub(crate) struct RequestCounter {
    shared: Rc<EdgeShared>,
    pub(crate) is_transferred: bool,
}

impl RequestCounter {
    /// Adds a request that has arrived.
    pub(crate) fn new(shared: &Rc<EdgeShared>) -> Self {
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        state.in_flight += 1;
        state.last_activity_at = now;
        drop(state);
        Self {
            shared: Rc::clone(shared),
            is_transferred: false,
        }
    }
}

impl Drop for RequestCounter {
    fn drop(&mut self) {
        if !self.is_transferred {
            self.shared.state.borrow_mut().in_flight -= 1;
        }
    }
}
