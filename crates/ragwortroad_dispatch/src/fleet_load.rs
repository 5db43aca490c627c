use crate::endpoint_selection::filter_healthy;

/// Usage of one endpoint of a service, as input to [`FleetLoad::of`].
#[derive(Clone, Copy, Debug)]
pub struct EndpointUsage {
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Requests of all edges at the endpoint, including this edge's.
    pub total: u32,
    /// Requests of this edge at the endpoint, as it reported them for that total.
    pub own: u32,
    /// Recent failure rate, from 0 to 1.
    pub failure_rate: f64,
}

impl EndpointUsage {
    /// Returns the usage of an endpoint without requests and without failures.
    pub fn idle(slots: u32) -> Self {
        Self {
            slots,
            total: 0,
            own: 0,
            failure_rate: 0.0,
        }
    }
}

/// Load of all edges on the endpoints of one service, as known to one edge.
///
/// The counts are as old as the edges' reports, about 0.3 s.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// Requests that the endpoints can process concurrently, all together.
    pub capacity: f64,
    /// Requests of all edges, including this edge's.
    pub total: u32,
    /// Requests of this edge, as it reported them for that total.
    pub own: u32,
    /// Number of edges that serve requests.
    pub edges: u32,
}

/// Share of the capacity that the edges fill together.
///
/// The rest absorbs requests that edges admit before they learn of each other's. At a higher
/// utilization no engine has spare capacity, and prefixes move between engines and are computed
/// again.
const TARGET_UTILIZATION: f64 = 0.95;

/// Share of the capacity of brittle endpoints that the edges fill together.
///
/// The rest makes it unlikely that edges which do not know of each other's last requests fill one
/// endpoint while another has room.
const BRITTLE_UTILIZATION: f64 = 0.6;

/// Share of a brittle service's capacity that is divided equally over the edges; the rest is
/// proportional to their current load.
const BRITTLE_EQUAL_RATIO: f64 = 0.5;

/// Share of its slots that a warming endpoint can use.
///
/// It gets requests at a limited rate, so requests admitted for its other slots would queue at the
/// other endpoints.
const WARMUP_SLOT_RATIO: f64 = 0.5;

/// Returns the number of requests that an endpoint can currently process concurrently.
pub fn usable_slots(slots: u32, is_warming: bool) -> u32 {
    match is_warming {
        true => (f64::from(slots) * WARMUP_SLOT_RATIO) as u32,
        false => slots,
    }
}

/// Share of an edge's limit that is equal for all edges; the rest is proportional to its current
/// load.
///
/// Without it, an edge with little load when the fleet fills up would keep a low limit for good,
/// and reject its clients while those of other edges are served.
const EQUAL_SHARE_RATIO: f64 = 0.2;

impl FleetLoad {
    /// Returns the load of a service on these endpoints, as seen by one of `edges` edges, or `None`
    /// if they have no slots.
    ///
    /// Counts only endpoints that can be selected. If the slots of failing engines were filled too,
    /// the requests for them would queue at the others.
    pub fn of(endpoints: &[EndpointUsage], edges: u32) -> Option<Self> {
        let healthy = filter_healthy(endpoints, |endpoint| endpoint.failure_rate);
        let start = Self {
            edges,
            ..Self::default()
        };
        let load = healthy.iter().fold(start, |sum, endpoint| Self {
            capacity: sum.capacity + f64::from(endpoint.slots),
            total: sum.total + endpoint.total,
            own: sum.own + endpoint.own,
            edges,
        });
        (load.capacity > 0.0).then_some(load)
    }

    /// Returns the largest number of requests that this edge may have in flight at brittle
    /// endpoints.
    ///
    /// The limits of all edges add up to less than the capacity, whatever they know of each other.
    /// With more edges than slots the share is below one request; `draw`, from 0 to 1, then decides
    /// whether the edge has one, so that the sum holds on average.
    pub fn brittle_limit(&self, draw: f64) -> f64 {
        let equal_ratio = 1.0 / f64::from(self.edges.max(1));
        let own_ratio = match self.total {
            0 => equal_ratio,
            total => (f64::from(self.own) / f64::from(total)).min(1.0),
        };
        let ratio = equal_ratio * BRITTLE_EQUAL_RATIO + own_ratio * (1.0 - BRITTLE_EQUAL_RATIO);
        let share = self.capacity * BRITTLE_UTILIZATION * ratio;
        let extra = if draw < share.fract() { 1.0 } else { 0.0 };
        share.floor() + extra
    }

    /// Returns the number of requests that all edges may have in flight together at endpoints that
    /// are not brittle.
    pub fn room(&self) -> f64 {
        self.capacity * TARGET_UTILIZATION
    }

    /// Returns the largest number of requests that this edge may have in flight, so that all edges
    /// together fill the capacity.
    ///
    /// Each edge scales its load at the time of the total by the same factor, so the fleet reaches
    /// the desired utilization after the next exchange of counts, whatever each edge's share. A
    /// limit on concurrency stays valid while the total is late, unlike a limit on the rate. It
    /// protects against loads above the engines' capacity: without a limit, requests queue at the
    /// engines until their clients have left, and the work is wasted.
    pub fn own_limit(&self) -> f64 {
        let edges = f64::from(self.edges.max(1));
        let capacity = self.room();
        let total = f64::from(self.total.max(self.own));
        let equal_load = total / edges;
        let weighted_load =
            equal_load * EQUAL_SHARE_RATIO + f64::from(self.own) * (1.0 - EQUAL_SHARE_RATIO);
        let factor = if total > 0.0 { capacity / total } else { 1.0 };
        // An idle edge may take its share of the free capacity. That grants the free capacity
        // twice, which only a surge at all edges between two exchanges can exhaust, and no client
        // is rejected while there is capacity.
        let free = (capacity - total).max(0.0) / edges;
        (weighted_load * factor + free).max(1.0)
    }
}
