use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    CustomerTag,
    EndpointTag,
    KeeperCandidate,
    RelayPeer,
    RequestRank,
    ScarceEndpoint,
    assign_keepers,
    keeper_choice::choose_scarce_endpoint, //
};

/// Time after the last sign of contention for which requests are still led to keepers.
///
/// Longer than the pauses between the bursts of a load that is near the capacity.
const CONTENTION_TIME: Duration = Duration::from_secs(3);

/// Time after the last led request for which an edge keeps an endpoint.
const KEPT_TIME: Duration = Duration::from_secs(2);

/// Age from which the list of candidates is requested again.
const CANDIDATES_TTL: Duration = Duration::from_secs(1);

/// Minimum time between two requests for the list.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a keeper that had no room is not asked again.
///
/// Bounds what the refusals of all edges together cost a keeper.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Time for which an edge that could not be reached keeps no endpoint, as far as this edge knows.
///
/// Registries notice a lost edge within that time.
const LOST_PAUSE: Duration = Duration::from_secs(2);

/// Number of keepers that are asked to take one request.
const MAX_TRIED_KEEPERS: usize = 2;

/// Inverse of the share of its longest time in the queue after which a request is not led to
/// another keeper: it would queue there once more, and be late.
const RETRY_TIME_DIVISOR: u32 = 4;

/// Returns whether a request that `tried` keepers had no room for is led to another one; `elapsed`
/// is the time since its arrival, and `max_wait` the longest time in the queue.
pub fn may_try_keeper(tried: usize, elapsed: Duration, max_wait: Duration) -> bool {
    tried < MAX_TRIED_KEEPERS && elapsed < max_wait / RETRY_TIME_DIVISOR
}

/// Position of a request in the order in which keepers admit those of one customer; the lowest value is
/// first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeadOrder {
    /// Customer who sent the request; `None` if customers share nothing.
    pub customer: Option<CustomerTag>,
    /// Priority of the request.
    pub rank: RequestRank,
    /// Whether the client has already spent its latency target waiting elsewhere.
    pub is_late: bool,
}

/// Where a request for a scarce service goes.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperDecision {
    /// To an endpoint, without a keeper: the service is not contended, or no keeper is known.
    Direct,
    /// To the edge that keeps an endpoint.
    Keeper {
        /// The endpoint.
        endpoint: EndpointTag,
        /// The edge; may be the one that decides.
        edge: RelayPeer,
    },
    /// Nowhere: no keeper has room.
    Full {
        /// When the client may come back, as a keeper said last.
        retry_after: Option<Duration>,
    },
}

/// What one edge knows of contended scarce services, their keepers, and the endpoints that it keeps.
#[derive(Clone, Debug, Default)]
pub struct KeeperTable {
    candidates: Vec<KeeperCandidate>,
    /// When a registry sent the list.
    received_at: Option<ClockTime>,
    /// When the list was last requested.
    requested_at: Option<ClockTime>,
    /// Keepers that had no room for a request: until when they are not asked to take one of the same
    /// customer that is no more urgent, and what they said of the return.
    full: BTreeMap<(SocketAddr, LeadOrder), (ClockTime, Option<Duration>)>,
    /// Edges that could not be reached, and until when they keep nothing.
    lost: BTreeMap<SocketAddr, ClockTime>,
    /// Contended services, and until when they count as such.
    contended: BTreeMap<String, ClockTime>,
    /// Endpoints whose places this edge keeps, and until when.
    kept: BTreeMap<EndpointTag, ClockTime>,
}

impl KeeperTable {
    /// Records a sign that a scarce service has too little room: more requests than places, a
    /// rejection, or a queue. Returns whether that is news.
    pub fn note_contended(&mut self, service: &str, now: ClockTime) -> bool {
        let until = now.after(CONTENTION_TIME);
        let before = self.contended.insert(service.to_owned(), until);
        before.is_none()
    }

    /// Returns whether a service is contended.
    pub fn is_contended(&self, service: &str, now: ClockTime) -> bool {
        self.contended
            .get(service)
            .is_some_and(|until| now < *until)
    }

    /// Returns the number of contended services.
    pub fn contended_count(&self) -> usize {
        self.contended.len()
    }

    /// Returns whether the list of candidates is due to be requested, and records the request.
    pub fn take_request(&mut self, now: ClockTime) -> bool {
        let is_fresh = |at: Option<ClockTime>, ttl| at.is_some_and(|at| now.since(at) < ttl);
        let is_due = !self.contended.is_empty()
            && !is_fresh(self.received_at, CANDIDATES_TTL)
            && !is_fresh(self.requested_at, REQUEST_INTERVAL);
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }

    /// Replaces the list of candidates.
    pub fn set_candidates(&mut self, candidates: Vec<KeeperCandidate>, now: ClockTime) {
        self.candidates = candidates;
        self.received_at = Some(now);
    }

    /// Decides where a request for a contended scarce service goes; `tried` are the keepers that
    /// had no room for it, and `draw` is a random number between 0 and 1.
    ///
    /// A request is refused without asking a keeper only if one of the same customer that was no less
    /// urgent was refused there a moment ago: the others may precede those that are queued there.
    pub fn decide(
        &self,
        endpoints: &[ScarceEndpoint<'_>],
        tried: &[SocketAddr],
        (order, draw): (LeadOrder, f64),
        now: ClockTime,
    ) -> KeeperDecision {
        let is_lost =
            |address: &SocketAddr| self.lost.get(address).is_some_and(|until| now < *until);
        let candidates = self.candidates.iter();
        let candidates = candidates.filter(|candidate| !is_lost(&candidate.edge.address));
        let candidates: Vec<&KeeperCandidate> = candidates.collect();
        let keepers = assign_keepers(endpoints, &candidates);
        if keepers.is_empty() {
            return KeeperDecision::Direct;
        }
        let pairs = endpoints.iter().zip(&keepers);
        let pairs = pairs.map(|(endpoint, keeper)| (*endpoint, candidates[*keeper].edge.address));
        let open = pairs.filter(|(_, address)| {
            !tried.contains(address) && self.full_pause(*address, order, now).is_none()
        });
        let open: Vec<(ScarceEndpoint<'_>, SocketAddr)> = open.collect();
        let Some((endpoint, address)) = choose_scarce_endpoint(&open, draw) else {
            let pauses = keepers.iter();
            let pauses = pauses.map(|keeper| candidates[*keeper].edge.address);
            let mut pauses = pauses.filter_map(|address| self.full_pause(address, order, now));
            let retry_after = pauses.find_map(|retry_after| retry_after);
            return KeeperDecision::Full { retry_after };
        };
        let mut edges = candidates.iter().map(|candidate| &candidate.edge);
        match edges.find(|edge| edge.address == address) {
            Some(edge) => KeeperDecision::Keeper {
                endpoint: endpoint.endpoint,
                edge: edge.clone(),
            },
            None => KeeperDecision::Direct,
        }
    }

    /// What a keeper said of the return of requests that it is not asked to take; `None` if it may
    /// be asked.
    fn full_pause(
        &self,
        address: SocketAddr,
        order: LeadOrder,
        now: ClockTime,
    ) -> Option<Option<Duration>> {
        let first = LeadOrder {
            customer: order.customer,
            ..LeadOrder::default()
        };
        let mut pauses = self.full.range((address, first)..=(address, order));
        let pause = pauses.find(|(_, (until, _))| now < *until);
        pause.map(|(_, (_, retry_after))| *retry_after)
    }

    /// Records that a keeper had no room for a request, and when it said that the client may come
    /// back.
    pub fn note_full(
        &mut self,
        edge: SocketAddr,
        order: LeadOrder,
        retry_after: Option<Duration>,
        now: ClockTime,
    ) {
        let pause = (now.after(FULL_PAUSE), retry_after);
        self.full.insert((edge, order), pause);
    }

    /// Records that a keeper could not be reached.
    pub fn note_lost(&mut self, edge: SocketAddr, now: ClockTime) {
        self.lost.insert(edge, now.after(LOST_PAUSE));
    }

    /// Records that a request is led to an endpoint through this edge, which therefore keeps it.
    /// Returns whether that is news.
    pub fn note_kept(&mut self, endpoint: EndpointTag, now: ClockTime) -> bool {
        self.kept.insert(endpoint, now.after(KEPT_TIME)).is_none()
    }

    /// Returns whether this edge keeps an endpoint.
    pub fn keeps(&self, endpoint: EndpointTag) -> bool {
        self.kept.contains_key(&endpoint)
    }

    /// Returns the number of endpoints that this edge keeps.
    pub fn kept_count(&self) -> usize {
        self.kept.len()
    }

    /// Removes what is out of date, and returns the services whose contention has ended.
    pub fn expire(&mut self, now: ClockTime) -> Vec<String> {
        self.full.retain(|_, (until, _)| now < *until);
        self.lost.retain(|_, until| now < *until);
        self.kept.retain(|_, until| now < *until);
        let ended = self.contended.iter().filter(|(_, until)| now >= **until);
        let ended: Vec<String> = ended.map(|(service, _)| service.clone()).collect();
        self.contended.retain(|_, until| now < *until);
        ended
    }
}
