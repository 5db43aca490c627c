use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::endpoint_connection::EndpointConnection;

/// Time before an endpoint's own idle timeout at which a pooled connection is no longer used.
///
/// A request that crosses the endpoint's close is lost midway, and a non-idempotent request cannot
/// be retried.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// Idle lifetime assumed if the endpoint announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);

const MAX_IDLE_PER_ENDPOINT: usize = 16;

struct IdleConnection {
    connection: EndpointConnection,
    usable_until: ClockTime,
}

/// Idle connections to endpoints, kept for reuse.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns the most recently used connection, since it is the least likely to be closed.
    pub(crate) fn take(&self, address: SocketAddr, now: ClockTime) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if now < connection.usable_until && connection.connection.is_ready() {
                return Some(connection.connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse after its response was read in full.
    pub(crate) fn keep(
        &self,
        address: SocketAddr,
        connection: EndpointConnection,
        keep_alive_timeout: Option<Duration>,
        now: ClockTime,
    ) {
        let keep_alive = keep_alive_timeout.unwrap_or(DEFAULT_KEEP_ALIVE);
        let Some(keep_alive) = keep_alive.checked_sub(CLOSE_MARGIN) else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| now < connection.usable_until);
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(IdleConnection {
                connection,
                usable_until: now.after(keep_alive),
            });
        }
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_address(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes expired connections, and removes addresses without any.
    pub(crate) fn expire(&self, now: ClockTime) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| {
                now < connection.usable_until && !connection.connection.is_closed()
            });
            !connections.is_empty()
        });
    }
}
