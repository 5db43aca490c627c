use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

/// Time for which an edge that refused a request, or cannot be reached, is asked last.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// Age from which the list of edges is requested again.
const PEERS_TTL: Duration = Duration::from_secs(1);

/// Minimum time between two requests for the list.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Edges to which this edge relays requests.
#[derive(Debug, Default)]
pub(crate) struct RelayPeers {
    peers: Vec<RelayPeer>,
    /// When a registry sent the list.
    received_at: Option<ClockTime>,
    /// When the list was last requested.
    requested_at: Option<ClockTime>,
    /// Edges that refused a request, and until when they are asked last.
    refused: BTreeMap<SocketAddr, ClockTime>,
    /// Position of the edge that is asked next.
    next: usize,
}

impl RelayPeers {
    /// Returns whether the list is due to be requested, and records the request.
    pub(crate) fn take_request(&mut self, now: ClockTime) -> bool {
        let is_fresh = |at: Option<ClockTime>, ttl| at.is_some_and(|at| now.since(at) < ttl);
        let is_due = !is_fresh(self.received_at, PEERS_TTL)
            && !is_fresh(self.requested_at, REQUEST_INTERVAL);
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }

    /// Whether a requested list has yet to arrive.
    pub(crate) fn is_awaited(&self) -> bool {
        self.requested_at > self.received_at
    }

    /// Replaces the list.
    pub(crate) fn set(&mut self, peers: Vec<RelayPeer>, now: ClockTime) {
        self.peers = peers;
        self.received_at = Some(now);
        self.refused.retain(|_, until| now < *until);
    }

    /// Records that an edge did not take a request.
    pub(crate) fn note_refused(&mut self, address: SocketAddr, now: ClockTime) {
        self.refused.insert(address, now.after(REFUSAL_PAUSE));
    }

    /// Returns the next edge in turn that is not among `tried`; those that refused a request a
    /// moment ago come last.
    pub(crate) fn take_next(&mut self, tried: &[SocketAddr]) -> Option<RelayPeer> {
        let count = self.peers.len();
        let positions = (0..count).map(|step| (self.next + step) % count);
        let untried = positions.filter(|position| !tried.contains(&self.peers[*position].address));
        let is_refused =
            |position: &usize| self.refused.contains_key(&self.peers[*position].address);
        let position = untried.min_by_key(is_refused)?;
        self.next = position + 1;
        Some(self.peers[position].clone())
    }
}
