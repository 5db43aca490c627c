use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use ragwortroad_membership::prelude::*;
use ragwortroad_types::prelude::*;

/// First gossip port. The ports for clients and endpoints start 10,000 above it.
const FIRST_PORT: u16 = 10_000;

/// A simulated node with its own clock.
pub(crate) struct FakeNode {
    pub(crate) index: usize,
    pub(crate) zone: usize,
    pub(crate) table: Option<MembershipTable>,
    /// Incremented at every start, so that events for an earlier process are ignored.
    pub(crate) generation: u64,
    pub(crate) started_at: u64,
    pub(crate) paused_until: u64,
    pub(crate) packets_out: u64,
    pub(crate) bytes_out: u64,
    pub(crate) connections_opened: u64,
    rate: f64,
    offset: u64,
}

impl FakeNode {
    pub(crate) fn new(index: usize, zone: usize, rate: f64, offset: u64) -> Self {
        Self {
            index,
            zone,
            table: None,
            generation: 0,
            started_at: 0,
            paused_until: 0,
            packets_out: 0,
            bytes_out: 0,
            connections_opened: 0,
            rate,
            offset,
        }
    }

    pub(crate) fn name(&self) -> String {
        format!("node-{}", self.index)
    }

    pub(crate) fn id(&self) -> NodeId {
        NodeId::from_name(&self.name())
    }

    pub(crate) fn region(&self) -> usize {
        self.zone / 3
    }

    pub(crate) fn clock(&self, now: u64) -> ClockTime {
        ClockTime(self.offset + (now as f64 * self.rate) as u64)
    }

    fn gossip_address(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + self.index as u16))
    }

    pub(crate) fn caller_address(&self) -> String {
        format!("127.0.0.1:{}", 2 * FIRST_PORT + self.index as u16)
    }

    pub(crate) fn index_at(address: SocketAddr) -> Option<usize> {
        address.port().checked_sub(FIRST_PORT).map(usize::from)
    }

    pub(crate) fn index_by_caller_address(address: &str) -> Option<usize> {
        let address: SocketAddr = address.parse().ok()?;
        address.port().checked_sub(2 * FIRST_PORT).map(usize::from)
    }

    pub(crate) fn seed(&self) -> SeedNode {
        SeedNode {
            node: self.id(),
            address: self.gossip_address(),
        }
    }

    pub(crate) fn start(&mut self, settings: MembershipSettings, incarnation: u64, seed: u64) {
        let zone = format!("zone-{}", self.zone);
        let record = NodeRecord {
            region: format!("region-{}", self.region()),
            caller_address: self
                .caller_address()
                .parse()
                .expect("caller address is valid"),
            incarnation,
            ..NodeRecord::new(&self.name(), &zone, self.gossip_address())
        };
        self.generation += 1;
        self.paused_until = 0;
        self.table = Some(MembershipTable::new(settings, record, seed));
    }
}
