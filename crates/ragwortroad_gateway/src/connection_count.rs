use std::{
    collections::HashMap,
    net::IpAddr, //
};

use crate::GatewaySettings;

/// Counts the open client connections, in total and per IP address.
///
/// With a total limit alone, one client that opens connections and leaves them idle would lock out
/// all others.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCount {
    /// Invariant: no value is zero.
    count_by_address: HashMap<IpAddr, usize>,
    /// Invariant: the sum of the values of `count_by_address`.
    total: usize,
}

impl ConnectionCount {
    /// Adds a connection; returns false, and counts nothing, if a limit is reached.
    pub(crate) fn try_add(&mut self, address: IpAddr, settings: &GatewaySettings) -> bool {
        let address_count = self.count_by_address.get(&address).copied().unwrap_or(0);
        if self.total >= settings.max_connections
            || address_count >= settings.max_connections_per_address
        {
            return false;
        }
        self.count_by_address.insert(address, address_count + 1);
        self.total += 1;
        true
    }

    /// Removes a closed connection.
    pub(crate) fn remove(&mut self, address: IpAddr) {
        if let Some(address_count) = self.count_by_address.get_mut(&address) {
            *address_count -= 1;
            self.total -= 1;
            if *address_count == 0 {
                self.count_by_address.remove(&address);
            }
        }
    }

    pub(crate) fn total(&self) -> usize {
        self.total
    }
}
