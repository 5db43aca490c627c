use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::endpoint_connection::EndpointConnection;

/// Time before an endpoint's own idle timeout at which a connection is not used any more.
///
/// A request that crosses the endpoint's close is lost in the middle, and one that must not run
/// twice cannot be sent again.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// Idle life where the endpoint names none, for want of anything better.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Idle connections kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// A connection without a request.
struct IdleConnection {
    connection: EndpointConnection,
    usable_until: ClockTime,
}

/// Connections to endpoints that wait for their next request.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// A connection to use again; the one used last, since it is least likely to be closed.
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

    /// Keeps a connection whose answer has been read in full.
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

    /// Closes the connections to an address.
    pub(crate) fn close_address(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that are too old to be used, and forgets addresses without any.
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
