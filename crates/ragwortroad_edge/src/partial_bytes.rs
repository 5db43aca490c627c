use std::collections::HashMap;

use ragwortroad_dispatch::prelude::*;

/// The bytes of incomplete events that an edge holds of one endpoint are at most the memory of the
/// process divided by this; the same holds for its incomplete bodies without an announced length.
///
/// An eighth of the memory then holds what eight endpoints send without end, and four events or bodies
/// of a megabyte fit at once for each endpoint of a process with 256 MB.
const MEMORY_DIVISOR: usize = 64;

/// Bytes of incomplete events or bodies that an edge holds, by endpoint; `None` for those that other
/// edges relay.
///
/// An endpoint in trouble may send an event or a body that does not end. Each endpoint has a limit of
/// its own, so that it costs no caller of another one its room.
#[derive(Debug)]
pub(crate) struct PartialBytes {
    /// Invariant: no value is zero.
    held: HashMap<Option<EndpointKey>, usize>,
    /// Bytes that each endpoint may take.
    limit: usize,
}

impl PartialBytes {
    /// Creates the account of a process that may use `memory` bytes.
    pub(crate) fn for_memory(memory: usize) -> Self {
        Self {
            held: HashMap::new(),
            limit: memory / MEMORY_DIVISOR,
        }
    }

    /// Changes the bytes that one response of an endpoint holds from `before` to `after`; returns
    /// whether all of the endpoint's responses together stay within the limit.
    pub(crate) fn change(
        &mut self,
        endpoint: Option<EndpointKey>,
        before: usize,
        after: usize,
    ) -> bool {
        if before == 0 && after == 0 {
            return true;
        }
        let held = self.held.entry(endpoint).or_default();
        *held = *held + after - before;
        let is_within = *held <= self.limit;
        if *held == 0 {
            self.held.remove(&endpoint);
        }
        is_within
    }

    /// Bytes that each endpoint may take.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }
}
