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
pub(crate) struct BodyRoom {
    limit: usize,
    /// Invariant: the sum over all live [`HeldRoom`]s, and at most `limit`.
    used: AtomicUsize,
}

/// One body's part of the room, given back on drop.
pub(crate) struct HeldRoom {
    room: Arc<BodyRoom>,
    bytes: usize,
}

impl BodyRoom {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    pub(crate) fn hold(self: &Arc<Self>) -> HeldRoom {
        HeldRoom {
            room: Arc::clone(self),
            bytes: 0,
        }
    }
}

impl HeldRoom {
    /// Takes room for more bytes; false if there is none.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.room.limit;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let order = Ordering::AcqRel;
        let grown = self
            .room
            .used
            .fetch_update(order, Ordering::Acquire, add)
            .is_ok();
        if grown {
            self.bytes += bytes;
        }
        grown
    }
}

impl Drop for HeldRoom {
    fn drop(&mut self) {
        self.room.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
