use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

use crate::CoarseLoad;

/// Whether an endpoint is available, as reported by its home node.
///
/// Invariant: variants are ordered by precedence. Of two records from the same announcement, the
/// one with the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointPresence {
    /// The endpoint sends announcements.
    Present,
    /// The endpoint has announced that it is shutting down; it gets no new work.
    Leaving,
    /// Its home node is shutting down and gave up its claim; the endpoint is about to choose
    /// another home.
    Released,
    /// Its home node has not received an announcement for the endpoint timeout.
    Gone,
}

/// The replicated record of one endpoint. Every node holds a copy.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Identity, derived from `name`.
    pub id: EndpointId,
    /// The name that the endpoint announces.
    pub name: String,
    /// Address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// How the endpoint processes a request.
    pub kind: EndpointKind,
    /// The endpoint's failure domain (zone).
    pub zone: String,
    /// Name of the service; present only for an endpoint that runs a plain service.
    pub service: Option<String>,
    /// Models that are loaded and ready to serve.
    pub models: Vec<ModelOffer>,
    /// Number of requests processed concurrently; more are queued.
    pub capacity: u32,
    /// Whether the endpoint rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Version of the endpoint's software; `None` if it announces none.
    pub build: Option<String>,
    /// Incremented whenever the endpoint restarts.
    pub incarnation: u64,
    /// Sequence number of the announcement that the record was created from; the load may be newer.
    ///
    /// Invariant: of two records of one incarnation, the one with the higher sequence is newer; at
    /// equal sequences, the one with the higher presence. Endpoints number their announcements
    /// across homes, and only the home that received an announcement creates a record from it.
    pub sequence: u64,
    /// Incremented whenever the endpoint switches to another home.
    pub home_epoch: u64,
    /// The only node that the endpoint currently announces itself to.
    pub home: NodeId,
    /// Availability as reported by the home node.
    pub presence: EndpointPresence,
    /// Whether the endpoint restarts too often. It gets no new work until its flap penalty has
    /// decayed below the reuse threshold.
    pub damped: bool,
    /// Flap penalty at the time the record was created, in quarters of a restart.
    pub flaps: u8,
    /// The last published load.
    pub load: CoarseLoad,
    /// Sequence number of the announcement that the load is from.
    pub load_sequence: u64,
}

impl EndpointRecord {
    /// Whether the endpoint accepts new work, as far as its home knows.
    ///
    /// A released endpoint does, since it chooses its next home within moments.
    pub fn accepts_new_work(&self) -> bool {
        let is_active = matches!(
            self.presence,
            EndpointPresence::Present | EndpointPresence::Released
        );
        is_active && !self.damped
    }

    /// The version that decides which of two records is newer.
    pub(crate) fn version(&self) -> (u64, u64, EndpointPresence) {
        (self.incarnation, self.sequence, self.presence)
    }

    /// Whether the records are equal apart from load, flap penalty and sequence numbers.
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
            && self.build == other.build
    }
}
