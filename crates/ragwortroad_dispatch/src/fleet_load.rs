use crate::endpoint_selection::healthy_ones;

/// One endpoint of a service, for the service's load.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUsage {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests there of all edges, this one's among them.
    pub total: u32,
    /// Requests of this edge there as it told them for that total.
    pub own: u32,
    /// Share of its requests that failed lately, from 0 to 1.
    pub failure_rate: f64,
}

/// What one edge knows of all requests at the endpoints of one service, at one moment.
///
/// The figures are as old as what edges tell each other: about 0.3 s.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// Requests that the endpoints carry well together.
    pub capacity: f64,
    /// Requests of all edges, this one's among them.
    pub total: u32,
    /// Requests of this edge as it told them for that total.
    pub own: u32,
    /// Edges that take requests.
    pub edges: u32,
}

/// Part of the room up to which edges fill it together.
///
/// The rest takes what edges admit while they do not know of each other. Filled further, no engine has
/// room, and texts move between engines and are read again.
const FILLED_PART: f64 = 0.95;

/// Part of its places that an endpoint can use while it warms up.
///
/// It is sent requests at a bounded rate then, and the requests that edges admitted for its other
/// places would queue at the others.
const WARMING_PART: f64 = 0.5;

/// Requests that an endpoint can work on at once now.
pub fn usable_slots(slots: u32, is_warming: bool) -> u32 {
    match is_warming {
        true => (f64::from(slots) * WARMING_PART) as u32,
        false => slots,
    }
}

/// Part of an edge's limit that is an equal share, rather than in proportion to what it has.
///
/// Without it an edge that had little when the fleet filled up would keep little for good, and
/// its callers would be refused while those of other edges are served.
const EQUAL_PART: f64 = 0.2;

impl FleetLoad {
    /// The load of a service with these endpoints, for one of `edges`; nothing if none takes work.
    ///
    /// Only endpoints that are chosen count. If the places of engines that fail were filled too, the
    /// requests for them would all queue at the others.
    pub fn of(endpoints: &[EndpointUsage], edges: u32) -> Option<Self> {
        let well = healthy_ones(endpoints, |endpoint| endpoint.failure_rate);
        let start = Self {
            edges,
            ..Self::default()
        };
        let load = well.iter().fold(start, |sum, endpoint| Self {
            capacity: sum.capacity + f64::from(endpoint.slots),
            total: sum.total + endpoint.total,
            own: sum.own + endpoint.own,
            edges,
        });
        (load.capacity > 0.0).then_some(load)
    }

    /// Requests that this edge may have under way, so that all edges together fill the room.
    ///
    /// Each edge scales what it had at the time of the total by the same factor, so the fleet is as
    /// full as it should be one message later, whatever each edge's part. A limit on what is under
    /// way stays true while the total is late; a rate would run on. Answers loads past what the
    /// engines carry: without a limit they queue at the engines until their callers have left, and
    /// the work is done for nobody.
    pub fn own_limit(&self) -> f64 {
        let edges = f64::from(self.edges.max(1));
        let room = self.capacity * FILLED_PART;
        let total = f64::from(self.total.max(self.own));
        let equal = total / edges;
        let present = equal * EQUAL_PART + f64::from(self.own) * (1.0 - EQUAL_PART);
        let factor = if total > 0.0 { room / total } else { 1.0 };
        // An edge that had nothing may take its part of what is free. So that is granted twice, which
        // only a surge of all edges within one message can use up, and no caller is refused while
        // there is room.
        let free = (room - total).max(0.0) / edges;
        (present * factor + free).max(1.0)
    }
}
