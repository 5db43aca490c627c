use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::Notify;

/// Key of a client's connection at this edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClientKey(u32);

/// Clients connected to an edge.
#[derive(Debug, Default)]
pub(crate) struct ClientTable {
    entries: RefCell<BTreeMap<ClientKey, ClientEntry>>,
    next_key: Cell<u32>,
}

#[derive(Debug)]
struct ClientEntry {
    transfer: ClientTransfer,
    disconnect: Rc<Notify>,
}

impl ClientTable {
    /// Adds a client whose connection is closed when `disconnect` is notified.
    pub(crate) fn insert(&self, disconnect: Rc<Notify>) -> ClientKey {
        let key = ClientKey(self.next_key.get());
        self.next_key.set(key.0.wrapping_add(1));
        let entry = ClientEntry {
            transfer: ClientTransfer::default(),
            disconnect,
        };
        self.entries.borrow_mut().insert(key, entry);
        key
    }

    /// Removes a client whose connection has ended.
    pub(crate) fn remove(&self, key: ClientKey) {
        self.entries.borrow_mut().remove(&key);
    }

    /// Changes what is known of the transfer between a client and this edge.
    pub(crate) fn update(&self, key: ClientKey, change: impl FnOnce(&mut ClientTransfer)) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&key) {
            change(&mut entry.transfer);
        }
    }

    /// Returns whether part of a response has yet to be passed to a client's connection.
    pub(crate) fn has_unsent(&self) -> bool {
        let entries = self.entries.borrow();
        entries.values().any(|entry| entry.transfer.has_unsent())
    }

    /// Disconnects slow clients other than `own` whose bodies occupy `missing` bytes together;
    /// returns whether there are any.
    ///
    /// The bytes are free once the tasks of their connections have run.
    pub(crate) fn disconnect_slow(
        &self,
        own: Option<ClientKey>,
        missing: usize,
        now: ClockTime,
    ) -> bool {
        let mut entries = self.entries.borrow_mut();
        let others = entries.iter().filter(|(key, _)| Some(**key) != own);
        let transfers = others.map(|(key, entry)| (*key, entry.transfer));
        let chosen = choose_slow_clients(transfers, missing, now);
        for key in &chosen {
            let Some(entry) = entries.get_mut(key) else {
                continue;
            };
            tracing::info!(
                held = entry.transfer.reclaimable(now),
                missing,
                "slow client disconnected for the memory that it occupies"
            );
            metrics::counter!(metric_names::SLOW_CLIENTS_DISCONNECTED).increment(1);
            // Not to be chosen again before its task has ended.
            entry.transfer = ClientTransfer::default();
            entry.disconnect.notify_one();
        }
        !chosen.is_empty()
    }
}
