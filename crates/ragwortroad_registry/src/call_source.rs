use std::rc::Rc;

use crate::open_calls::OpenCalls;

/// Counts a listener or connection among the sources of calls for as long as it lives.
#[derive(Debug)]
pub(crate) struct CallSource {
    calls: Rc<OpenCalls>,
}

impl CallSource {
    pub(crate) fn open(calls: &Rc<OpenCalls>) -> Self {
        calls.add_source();
        Self {
            calls: Rc::clone(calls),
        }
    }

    pub(crate) fn calls(&self) -> &Rc<OpenCalls> {
        &self.calls
    }
}

impl Drop for CallSource {
    fn drop(&mut self) {
        self.calls.remove_source();
    }
}
