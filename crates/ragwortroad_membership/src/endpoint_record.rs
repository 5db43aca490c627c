use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

use crate::CoarseLoad;

/// Whether an endpoint is there, as its home says.
///
/// Invariant: the order is the one in which news of one announcement replaces other news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointPresence {
    /// It announces itself.
    Present,
    /// It announces itself and said that it will stop; it gets no new work.
    Leaving,
    /// Its home gave it up, as that node is leaving; another home follows.
    Released,
    /// It fell silent.
    Gone,
}

/// One endpoint, as everybody knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its identity.
    pub id: EndpointId,
    /// The name under which it announces itself.
    pub name: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// What it does with a request.
    pub kind: EndpointKind,
    /// Its failure domain (zone).
    pub zone: String,
    /// The service's name, for a plain service.
    pub service: Option<String>,
    /// Models it holds ready.
    pub models: Vec<ModelOffer>,
    /// Requests it works on at once before they queue.
    pub capacity: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Counts up with every restart of the endpoint.
    pub incarnation: u64,
    /// The announcement that the record (but not the load) is from.
    ///
    /// Invariant: of two records of one incarnation the one with the higher sequence is newer, or
    /// with the higher presence where the sequences are equal. Endpoints number announcements
    /// across homes, and only the home that heard an announcement writes a record from it.
    pub sequence: u64,
    /// Counts up whenever the endpoint turns to another home.
    pub home_epoch: u64,
    /// The one node it announces itself to.
    pub home: NodeId,
    /// Whether it is there.
    pub presence: EndpointPresence,
    /// Whether it flaps and gets no new work until it has calmed down.
    pub damped: bool,
    /// Its recent restarts, in quarters, when the record was written.
    pub flaps: u8,
    /// Its load as last told.
    pub load: CoarseLoad,
    /// The announcement that the load is from.
    pub load_sequence: u64,
}

impl EndpointRecord {
    /// Whether it wants new work, as far as its home knows.
    ///
    /// A released endpoint does: its next home follows in a moment.
    pub fn accepts_new_work(&self) -> bool {
        let is_active = matches!(
            self.presence,
            EndpointPresence::Present | EndpointPresence::Released
        );
        is_active && !self.damped
    }

    /// What decides which of two records is newer.
    pub(crate) fn version(&self) -> (u64, u64, EndpointPresence) {
        (self.incarnation, self.sequence, self.presence)
    }

    /// Whether everything but load and version numbers is equal.
    pub(crate) fn same_metadata(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.home_epoch == other.home_epoch
            && self.home == other.home
            && self.presence == other.presence
            && self.damped == other.damped
            && self.address == other.address
            && self.kind == other.kind
            && self.zone == other.zone
            && self.service == other.service
            && self.models == other.models
            && self.capacity == other.capacity
            && self.checks_fencing == other.checks_fencing
    }
}
