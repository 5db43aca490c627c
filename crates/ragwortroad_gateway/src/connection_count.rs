use std::{
    collections::HashMap,
    net::IpAddr, //
};

use crate::GatewaySettings;

/// How many connections callers have open, in all and from each IP number.
///
/// With the limit over all alone, one caller that opens connections and leaves them idle shuts
/// everybody else out.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCount {
    /// Invariant: no value is zero.
    by_address: HashMap<IpAddr, usize>,
    /// Invariant: the sum of the values.
    total: usize,
}

impl ConnectionCount {
    /// Counts a connection in; false, and nothing counted, where there is no room for it.
    pub(crate) fn enter(&mut self, address: IpAddr, settings: &GatewaySettings) -> bool {
        let own = self.by_address.get(&address).copied().unwrap_or(0);
        if self.total >= settings.max_connections || own >= settings.max_connections_per_address {
            return false;
        }
        self.by_address.insert(address, own + 1);
        self.total += 1;
        true
    }

    /// Counts a connection out.
    pub(crate) fn leave(&mut self, address: IpAddr) {
        if let Some(own) = self.by_address.get_mut(&address) {
            *own -= 1;
            self.total -= 1;
            if *own == 0 {
                self.by_address.remove(&address);
            }
        }
    }

    pub(crate) fn total(&self) -> usize {
        self.total
    }
}
