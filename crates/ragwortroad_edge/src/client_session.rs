use std::{
    cell::RefCell,
    rc::Rc, //
};

use ragwortroad_dispatch::prelude::*;
use tokio::sync::Notify;

use crate::{
    client_table::{
        ClientKey,
        ClientTable, //
    },
    open_request::OpenRequest, //
};

/// A client's connection, which is in the table of clients for as long as it exists.
#[derive(Debug)]
pub(crate) struct ClientSession {
    table: Rc<ClientTable>,
    pub(crate) key: ClientKey,
    /// Notified when the connection is to be closed.
    pub(crate) disconnect: Rc<Notify>,
    /// The request that is being read or answered; `None` while the connection is idle.
    request: RefCell<Option<OpenRequest>>,
}

impl ClientSession {
    pub(crate) fn open(table: &Rc<ClientTable>) -> Self {
        let disconnect = Rc::new(Notify::new());
        Self {
            table: Rc::clone(table),
            key: table.insert(Rc::clone(&disconnect)),
            disconnect,
            request: RefCell::new(None),
        }
    }

    /// Changes what is known of the transfer between the client and this edge.
    pub(crate) fn update(&self, change: impl FnOnce(&mut ClientTransfer)) {
        self.table.update(self.key, change);
    }

    /// Records that the head of a request has been read.
    pub(crate) fn open_request(&self, request: OpenRequest) {
        *self.request.borrow_mut() = Some(request);
    }

    /// Returns the request that has no complete response, and forgets it.
    pub(crate) fn take_request(&self) -> Option<OpenRequest> {
        self.request.borrow_mut().take()
    }

    /// Records that the response has ended, so that only the connection has to take it.
    pub(crate) fn note_response_whole(&self) {
        self.update_request(|request| request.is_response_whole = true);
    }

    /// Records that the connection has taken all bytes that were written.
    pub(crate) fn note_flushed(&self) {
        let mut request = self.request.borrow_mut();
        request.take_if(|request| request.is_response_whole);
    }

    /// Records bytes that were read from the connection.
    pub(crate) fn note_received(&self, bytes: usize) {
        self.update_request(|request| request.received_bytes += bytes as u64);
    }

    /// Records bytes that the connection has taken.
    pub(crate) fn note_sent(&self, bytes: usize) {
        self.update_request(|request| request.sent_bytes += bytes as u64);
    }

    fn update_request(&self, change: impl FnOnce(&mut OpenRequest)) {
        if let Some(request) = self.request.borrow_mut().as_mut() {
            change(request);
        }
    }
}

impl Drop for ClientSession {
    fn drop(&mut self) {
        self.table.remove(self.key);
    }
}
