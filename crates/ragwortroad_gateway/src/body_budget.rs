use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

/// The memory that request bodies may take together.
///
/// The limit of one body times the limit of connections is more than a small VM has. Without this
/// one, a few hundred callers with long bodies end the process and every stream in it. Room is
/// taken as bytes come and not as they are announced, so that announcing alone takes nothing from
/// others.
pub(crate) struct BodyBudget {
    limit_bytes: usize,
    /// Invariant: the sum over all live [`HeldRoom`]s, and at most `limit`.
    used_bytes: AtomicUsize,
}

/// One body's part of the room, given back on drop.
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
    /// Takes room for more bytes; false if there is none.
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
