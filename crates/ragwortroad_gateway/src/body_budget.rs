use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

/// Limits the total memory of buffered request bodies.
///
/// The limit of one body times the limit of connections is more memory than a small VM has: without
/// a total, a few hundred clients with long bodies would end the process and every stream in it.
/// Bytes are reserved as they arrive and not as announced, so that a `Content-Length` alone takes
/// nothing from others.
pub(crate) struct BodyBudget {
    limit_bytes: usize,
    /// Invariant: the sum over all live [`BodyReservation`]s, and at most `limit_bytes`.
    used_bytes: AtomicUsize,
}

/// The bytes reserved for one body, released on drop.
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: AtomicUsize::new(0),
        }
    }

    pub(crate) fn new_reservation(self: &Arc<Self>) -> BodyReservation {
        BodyReservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Reserves further bytes; returns false, and reserves nothing, if the budget is exhausted.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let limit_bytes = self.budget.limit_bytes;
        let add_within_limit = |used_bytes: usize| {
            used_bytes
                .checked_add(bytes)
                .filter(|sum| *sum <= limit_bytes)
        };
        let success_order = Ordering::AcqRel;
        let is_granted = self
            .budget
            .used_bytes
            .fetch_update(success_order, Ordering::Acquire, add_within_limit)
            .is_ok();
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
