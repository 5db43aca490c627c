use std::collections::BTreeMap;

use crate::{
    CustomerLoad,
    CustomerTag,
    FleetLoad,
    ShareInputs,
    room_division::RoomDivision, //
};

/// Multiple of an edge's limit, or of an equal part of the room, up to which requests within their
/// customers' shares are admitted.
///
/// A limit follows what an edge wanted at one moment; at an edge with few slots that varies by half.
const BURST_RATIO: f64 = 2.0;

/// Smallest and largest factor by which the slots of a customer change at each edge while it has more
/// or less than its share.
const RAISE_RANGE: (f64, f64) = (0.25, 2.0);

/// Largest part of the customers that may want more than their shares.
///
/// Beyond it the overload comes from all customers. Admitting requests within shares above the limits
/// would then overload the endpoints, since a customer whose demand is close to its share counts as
/// within it at one moment and not at the next.
const MAX_BOUNDED_RATIO: f64 = 0.125;

/// Part of an edge's limit that is equal for all edges; the rest is proportional to its customers'
/// shares.
const EQUAL_LIMIT_RATIO: f64 = 0.2;

/// Smallest and largest factor by which limits change while the fleet uses more or less than its
/// room.
const CORRECTION_RANGE: (f64, f64) = (0.5, 1.2);

/// Shares of customers in a service that has too little room, as known to one edge.
///
/// The room is divided by max-min fairness: no customer gets more than it wants, and those that
/// want more than they get have equal shares per weight.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerShares {
    /// Slots that a customer of weight 1 may hold in the fleet.
    pub level: f64,
    /// Largest number of requests that this edge may have in flight.
    pub limit: f64,
    /// Largest number of requests that this edge may have in flight while it admits those within
    /// their customers' shares above the limit.
    pub burst_limit: f64,
    /// Slots here of the customers that want more than their share in the fleet; all others may use
    /// what they want.
    pub bounded: BTreeMap<CustomerTag, f64>,
}

impl CustomerShares {
    /// Returns whether a customer with `running` requests here may run another one within its share.
    pub fn allows(&self, customer: CustomerTag, running: u32) -> bool {
        let bound = self.bounded.get(&customer);
        bound.is_none_or(|bound| f64::from(running) + 1.0 <= *bound)
    }

    /// Returns the shares of a service's customers, or `None` unless they want more than the fleet
    /// has room for and few of them want more than their shares.
    pub fn of(inputs: &ShareInputs, fleet: &FleetLoad) -> Option<Self> {
        let wanted: u32 = inputs.totals.iter().map(|load| load.wanted).sum();
        let running: u32 = inputs.totals.iter().map(|load| load.running).sum();
        // Requests of edges that do not report customers, and those without a customer.
        let others = f64::from(fleet.total.max(fleet.own).saturating_sub(running));
        let room = fleet.room() - others;
        if f64::from(wanted) <= room || wanted <= running {
            return None;
        }
        // Others take no more than the part of the room that they use of what is in use.
        let room = room.max(fleet.room() * f64::from(running) / (f64::from(running) + others));
        let mut totals: Vec<&CustomerLoad> = inputs.totals.iter().collect();
        let relative = |load: &CustomerLoad| f64::from(load.wanted) / inputs.weight(load.customer);
        totals.sort_by(|left, right| relative(left).total_cmp(&relative(right)));
        let demands = totals.iter();
        let demands = demands.map(|load| (f64::from(load.wanted), inputs.weight(load.customer)));
        let division = RoomDivision::of(&demands.collect::<Vec<_>>(), room);
        let bounded_count = totals.len() - division.satisfied;
        let max_bounded = (totals.len() as f64 * MAX_BOUNDED_RATIO).ceil();
        if bounded_count == 0 || bounded_count as f64 > max_bounded {
            return None;
        }
        let level = division.level;
        let own_others = f64::from(fleet.own.saturating_sub(inputs.own_running));
        let correction = fleet.room() / f64::from(fleet.total.max(1));
        let correction = correction.clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1);
        let mut bounded = BTreeMap::new();
        let equal_limit = fleet.room() / f64::from(fleet.edges.max(1));
        let mut own_share = 0.0;
        for (position, total) in totals.iter().enumerate() {
            let wanted = f64::from(total.wanted);
            let mut share = wanted;
            if position >= division.satisfied {
                share = wanted.min(division.rest_level * inputs.weight(total.customer));
                let raise = share / f64::from(total.running.max(1));
                let raise = raise.clamp(RAISE_RANGE.0, RAISE_RANGE.1);
                // What a customer wants at one edge varies more than its share does.
                let equal_part = 1.0 / f64::from(fleet.edges.max(1));
                let part = inputs.own_part(total).max(equal_part);
                let mean = share * part * raise;
                // Requests come at random, so that their number varies by its root.
                bounded.insert(total.customer, mean + mean.sqrt());
            }
            own_share += share * inputs.own_part(total);
        }
        // An edge without requests keeps a part, as with `FleetLoad::own_limit`.
        let own_load = own_others + own_share;
        let limit = equal_limit * EQUAL_LIMIT_RATIO + own_load * (1.0 - EQUAL_LIMIT_RATIO);
        let limit = limit * correction;
        Some(Self {
            level,
            limit: limit.max(1.0),
            burst_limit: BURST_RATIO * limit.max(equal_limit).max(1.0),
            bounded,
        })
    }
}
