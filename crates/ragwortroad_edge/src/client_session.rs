use std::rc::Rc;

use ragwortroad_dispatch::prelude::*;
use tokio::sync::Notify;

use crate::client_table::{
    ClientKey,
    ClientTable, //
};

/// A client's connection, which is in the table of clients for as long as it exists.
#[derive(Debug)]
pub(crate) struct ClientSession {
    table: Rc<ClientTable>,
    pub(crate) key: ClientKey,
    /// Notified when the connection is to be closed.
    pub(crate) disconnect: Rc<Notify>,
}

impl ClientSession {
    pub(crate) fn open(table: &Rc<ClientTable>) -> Self {
        let disconnect = Rc::new(Notify::new());
        Self {
            table: Rc::clone(table),
            key: table.insert(Rc::clone(&disconnect)),
            disconnect,
        }
    }

    /// Changes what is known of the transfer between the client and this edge.
    pub(crate) fn update(&self, change: impl FnOnce(&mut ClientTransfer)) {
        self.table.update(self.key, change);
    }
}

impl Drop for ClientSession {
    fn drop(&mut self) {
        self.table.remove(self.key);
    }
}
