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
    count_by_address: HashMap<IpAddr, usize>,
    /// Invariant: the sum of the values.
    total: usize,
}

impl ConnectionCount {
    /// Counts a connection in; false, and nothing counted, where there is no room for it.
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

    /// Counts a connection out.
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
