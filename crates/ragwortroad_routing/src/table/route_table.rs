use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_types::{
    ClockTime,
    EndpointId,
    NodeId, //
};

use crate::{
    CustomerKey,
    EndpointKey,
    FleetKey,
    OfferKey,
    OutlierTable,
    RouteSettings,
    table::{
        affinity_map::AffinityMap,
        endpoint_state::EndpointState,
        fleet_load::FleetLoad,
        prefix_index::PrefixIndex, //
    }, //
};

/// One node's knowledge of the endpoints, and its routing decisions.
///
/// The inputs come from membership ([`Self::upsert_endpoint`], [`Self::set_home`],
/// [`Self::observe_digest`]) and from endpoints that announce themselves to this node
/// ([`Self::observe_report`], [`Self::observe_cache`]). The table decides where a request goes
/// ([`Self::choose`]) and, as the home node of some endpoints, who may send to them
/// ([`Self::grant_slot`]).
///
/// Every request is admitted by the home of its endpoint, which therefore knows the exact load. The
/// bound is enforced only there.
#[derive(Clone, Debug)]
pub struct RouteTable {
    pub(crate) settings: RouteSettings,
    /// Invariant: an index is reused only after its endpoint was removed from `ids` and from every
    /// pool.
    pub(crate) arena: Vec<Option<EndpointState>>,
    pub(crate) free_keys: Vec<EndpointKey>,
    pub(crate) ids: BTreeMap<EndpointId, EndpointKey>,
    /// Endpoints by what they serve. Invariant: contains only endpoints that take work.
    pub(crate) pools: BTreeMap<OfferKey, Vec<PoolEntry>>,
    /// Invariant: the sum of `counted_load` over members that take work.
    pub(crate) fleets: BTreeMap<FleetKey, FleetLoad>,
    /// Nodes that have not answered this node and were not heard from since.
    pub(crate) unresponsive: BTreeSet<NodeId>,
    /// Nodes to which clients may be sent.
    pub(crate) nodes: Vec<NodeId>,
    pub(crate) chat_map: AffinityMap,
    pub(crate) prefix_index: PrefixIndex,
    pub(crate) outliers: OutlierTable,
    /// For each customer, the requests refused here for lack of capacity since its last placed
    /// request, and the time of the latest.
    pub(crate) recent_refusals: BTreeMap<CustomerKey, (u32, ClockTime)>,
    pub(crate) next_slot: u64,
}

/// An endpoint of a pool with its hash seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolEntry {
    /// Hash seed of the endpoint, the same on every node.
    pub(crate) seed: u64,
    /// Index of the endpoint in the arena.
    pub(crate) key: EndpointKey,
}

impl RouteTable {
    /// Creates a table without endpoints.
    pub fn new(settings: RouteSettings) -> Self {
        let chat_map = AffinityMap::new(settings.chat_entries);
        let prefix_index = PrefixIndex::new(settings.prefix_entries);
        let outliers = OutlierTable::new(settings.outliers);
        Self {
            settings,
            arena: Vec::new(),
            free_keys: Vec::new(),
            ids: BTreeMap::new(),
            pools: BTreeMap::new(),
            fleets: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            nodes: Vec::new(),
            chat_map,
            prefix_index,
            outliers,
            recent_refusals: BTreeMap::new(),
            next_slot: 0,
        }
    }

    /// Returns the settings, with later changes such as [`Self::set_multiple`].
    pub fn settings(&self) -> &RouteSettings {
        &self.settings
    }

    /// Returns the load of an endpoint: exact if this node is its home, otherwise from the last
    /// digest. `None` for an unknown endpoint.
    pub fn load_of(&self, endpoint: EndpointId) -> Option<u32> {
        let state = self.state_of(endpoint)?;
        Some(match self.is_home(state) {
            true => state.ledger.load(),
            false => state.view.load,
        })
    }

    /// Returns the mean load of a fleet by this node's knowledge, or 0 for an unknown fleet.
    pub fn fleet_mean(&self, fleet: FleetKey) -> f64 {
        self.fleets.get(&fleet).map_or(0.0, FleetLoad::mean)
    }

    /// Returns the number of cache events that were lost, by gaps in their sequence numbers.
    pub fn lost_events(&self) -> u64 {
        self.prefix_index.lost()
    }

    pub(crate) fn state_of(&self, endpoint: EndpointId) -> Option<&EndpointState> {
        let key = self.ids.get(&endpoint)?;
        self.arena[key.index()].as_ref()
    }

    /// Whether this node admits requests to the endpoint.
    pub(crate) fn is_home(&self, state: &EndpointState) -> bool {
        state.facts.home == self.settings.node
    }

    /// Changes an endpoint's state and updates the fleet's load accordingly.
    pub(crate) fn change<T>(
        &mut self,
        key: EndpointKey,
        change: impl FnOnce(&mut EndpointState) -> T,
    ) -> Option<T> {
        let node = self.settings.node;
        let state = self.arena[key.index()].as_mut()?;
        let (before, took_work) = (state.counted_load, state.facts.takes_work());
        let result = change(state);
        state.counted_load = if state.facts.home == node {
            state.ledger.load_excluding(&self.unresponsive)
        } else if self.unresponsive.contains(&state.facts.home) {
            0
        } else {
            state.view.load
        };
        let after = state.counted_load;
        let fleet = self.fleets.entry(state.facts.fleet).or_default();
        match (took_work, state.facts.takes_work()) {
            (true, true) => fleet.replace(before, after),
            (true, false) => fleet.remove(before),
            (false, true) => fleet.add(after),
            (false, false) => {}
        }
        Some(result)
    }

    /// Returns the most requests that the endpoint may carry now.
    pub(crate) fn load_limit(&self, state: &EndpointState, now: ClockTime) -> u32 {
        let settings = &self.settings;
        let fleet = self
            .fleets
            .get(&state.facts.fleet)
            .copied()
            .unwrap_or_default();
        let bound =
            settings
                .bound
                .for_admission(fleet.mean(), fleet.members(), settings.mean_margin);
        let limit = bound.min(self.capacity_limit(state));
        self.outliers.ramped_limit(state.facts.id, limit, now)
    }

    /// Returns the most requests that an endpoint may carry whatever the mean: its capacity and its
    /// queue.
    pub(crate) fn capacity_limit(&self, state: &EndpointState) -> u32 {
        let requests = f64::from(state.facts.capacity) * self.settings.queue_multiple;
        (requests.floor() as u32).max(1)
    }
}
