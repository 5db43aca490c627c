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
    sessions: RefCell<BTreeMap<ClientKey, SessionEntry>>,
    next_key: Cell<u32>,
}

#[derive(Debug)]
struct SessionEntry {
    transfer: ClientTransfer,
    disconnect: Rc<Notify>,
}

impl ClientTable {
    /// Returns whether part of a response has yet to be passed to a client's connection.
    pub(crate) fn has_unsent(&self) -> bool {
        let sessions = self.sessions.borrow();
        sessions.values().any(|entry| entry.transfer.has_unsent())
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
        let mut sessions = self.sessions.borrow_mut();
        let others = sessions.iter().filter(|(key, _)| Some(**key) != own);
        let transfers = others.map(|(key, entry)| (*key, entry.transfer));
        let chosen = choose_slow_clients(transfers, missing, now);
        for key in &chosen {
            let Some(entry) = sessions.get_mut(key) else {
                continue;
            };
            tracing::info!(
                held = entry.transfer.reclaimable(now),
                missing,
                "slow client disconnected for the memory that it occupies"
            );
            metrics::counter!(metric_names::SLOW_CLIENTS_DISCONNECTED).increment(1);
            entry.transfer = ClientTransfer::default();
            entry.disconnect.notify_one();
        }
        !chosen.is_empty()
    }
}

/// A client's connection; its entry in the table is removed on drop.
#[derive(Debug)]
pub(crate) struct ClientSession {
    table: Rc<ClientTable>,
    pub(crate) key: ClientKey,
    /// Notified when the connection is to be closed.
    pub(crate) disconnect: Rc<Notify>,
}

impl ClientSession {
    pub(crate) fn open(table: &Rc<ClientTable>) -> Self {
        let key = ClientKey(table.next_key.get());
        table.next_key.set(key.0.wrapping_add(1));
        let disconnect = Rc::new(Notify::new());
        let entry = SessionEntry {
            transfer: ClientTransfer::default(),
            disconnect: Rc::clone(&disconnect),
        };
        table.sessions.borrow_mut().insert(key, entry);
        Self {
            table: Rc::clone(table),
            key,
            disconnect,
        }
    }

    /// Changes what is known of the transfer between the client and this edge.
    pub(crate) fn update(&self, change: impl FnOnce(&mut ClientTransfer)) {
        if let Some(entry) = self.table.sessions.borrow_mut().get_mut(&self.key) {
            change(&mut entry.transfer);
        }
    }
}

impl Drop for ClientSession {
    fn drop(&mut self) {
        self.table.sessions.borrow_mut().remove(&self.key);
    }
}
