use ragwortroad_types::{
    CacheEvent,
    ClockTime,
    EndpointId,
    LoadReport,
    NodeId, //
};

use crate::{
    EndpointFacts,
    EndpointKey,
    LoadDigest,
    RouteTable,
    table::{
        endpoint_state::EndpointState,
        route_choice::STARVED_TTL,
        route_table::PoolEntry, //
    }, //
};

/// Inputs of the table.
impl RouteTable {
    /// Adds an endpoint or changes its facts.
    ///
    /// `exclusive_from` matters where the home is new: only from then on may the home admit
    /// requests, because an earlier home may still do so until then. The home also waits for a load
    /// report from after that time, which shows the requests that the earlier home admitted.
    /// [`ClockTime::ZERO`] stands for an endpoint that just started and never had another home.
    /// Where the home stays the same, [`ClockTime::ZERO`] changes nothing, and any other time
    /// replaces the earlier one.
    pub fn upsert_endpoint(&mut self, facts: EndpointFacts, exclusive_from: ClockTime) {
        match self.ids.get(&facts.id).copied() {
            None => self.insert_endpoint(facts, exclusive_from),
            Some(key) => self.update_endpoint(key, facts, exclusive_from),
        }
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        let Some(key) = self.ids.remove(&endpoint) else {
            return;
        };
        if let Some(state) = self.arena[key.index()].take() {
            if state.facts.takes_work() {
                let fleet = self.fleets.entry(state.facts.fleet).or_default();
                fleet.remove(state.counted_load);
            }
            self.leave_pools(key, &state.facts);
        }
        self.free_keys.push(key);
        self.prefix_index.remove(endpoint);
        self.outliers.remove(endpoint);
    }

    /// Changes an endpoint's home; see [`Self::upsert_endpoint`] for `exclusive_from`.
    pub fn set_home(&mut self, endpoint: EndpointId, home: NodeId, exclusive_from: ClockTime) {
        let Some(state) = self.state_of(endpoint) else {
            return;
        };
        let facts = EndpointFacts {
            home,
            ..state.facts.clone()
        };
        self.upsert_endpoint(facts, exclusive_from);
    }

    /// Applies an endpoint's own load report; only for its home.
    ///
    /// Each report must be passed once, when it arrives, because its age counts from `now`. A
    /// report passed again later would look recent, and hide the requests sent to the endpoint
    /// since.
    pub fn observe_report(&mut self, endpoint: EndpointId, report: LoadReport, now: ClockTime) {
        if let Some(key) = self.ids.get(&endpoint).copied() {
            self.change(key, |state| state.observe(report, now));
        }
    }

    /// Applies cache events of an engine that announces itself to this node.
    pub fn observe_cache(&mut self, endpoint: EndpointId, events: &[CacheEvent], now: ClockTime) {
        self.prefix_index.observe(endpoint, events, now);
    }

    /// Applies the digest that an endpoint's home sent.
    pub fn observe_digest(&mut self, endpoint: EndpointId, digest: LoadDigest) {
        if let Some(key) = self.ids.get(&endpoint).copied() {
            self.change(key, |state| {
                state.view.observe(digest.load);
                state.ejected_by_home = digest.ejected;
            });
        }
    }

    /// Returns the digest that this node sends as the endpoint's home; `None` if it is not the
    /// home.
    pub fn digest_of(&self, endpoint: EndpointId, now: ClockTime) -> Option<LoadDigest> {
        let state = self.state_of(endpoint)?;
        if !self.is_home(state) {
            return None;
        }
        Some(LoadDigest {
            load: state.ledger.load(),
            ejected: self.outliers.is_ejected(endpoint, now),
        })
    }

    /// Expires the slots of a lost node after a delay, since its requests may run until the
    /// endpoints notice.
    pub fn expire_node_slots(&mut self, node: NodeId, now: ClockTime) {
        let ttl = self.settings.lost_node_slot_ttl;
        for key in self.keys() {
            self.change(key, |state| state.ledger.expire_all_within(node, now, ttl));
        }
    }

    /// Records that a node has not answered: the loads it reported and the slots it holds no longer
    /// raise the mean.
    ///
    /// The node may be lost together with its requests, and membership takes seconds to report
    /// that. Homes that kept using the higher mean would fill their endpoints above the bound.
    pub fn mark_unresponsive(&mut self, node: NodeId) {
        if self.unresponsive.insert(node) {
            self.recount_loads();
        }
    }

    /// Records that a node was heard from.
    pub fn mark_responsive(&mut self, node: NodeId) {
        if self.unresponsive.remove(&node) {
            self.recount_loads();
        }
    }

    fn recount_loads(&mut self) {
        for key in self.keys() {
            self.change(key, |_| ());
        }
    }

    /// Removes unresponsive nodes that are no home and hold no slot.
    fn forget_unresponsive(&mut self) {
        let states = || self.arena.iter().flatten();
        let is_referenced = |node: &NodeId| {
            states().any(|state| state.facts.home == *node || state.ledger.has_slots_of(*node))
        };
        let unresponsive = self.unresponsive.iter().copied();
        self.unresponsive = unresponsive.filter(is_referenced).collect();
    }

    /// Changes the multiple of the fleet mean that no endpoint may exceed.
    pub fn set_multiple(&mut self, multiple: f64) {
        self.settings.bound.multiple = multiple;
    }

    /// Sets the nodes to which clients may be sent.
    pub fn set_nodes(&mut self, nodes: &[NodeId]) {
        self.nodes = nodes.to_vec();
        self.nodes.sort_unstable();
        self.nodes.dedup();
    }

    /// Ends expired slots; call about once a second.
    pub fn tick(&mut self, now: ClockTime) {
        for key in self.keys() {
            self.change(key, |state| state.ledger.sweep(now));
        }
        self.forget_unresponsive();
        self.recent_refusals
            .retain(|_, (_, at)| now.since(*at) < STARVED_TTL);
    }

    fn keys(&self) -> Vec<EndpointKey> {
        self.ids.values().copied().collect()
    }

    fn insert_endpoint(&mut self, facts: EndpointFacts, exclusive_from: ClockTime) {
        let key = match self.free_keys.pop() {
            Some(key) => key,
            None => {
                self.arena.push(None);
                EndpointKey(self.arena.len() as u32 - 1)
            }
        };
        self.ids.insert(facts.id, key);
        if facts.takes_work() {
            self.join_pools(key, &facts);
            self.fleets.entry(facts.fleet).or_default().add(0);
        }
        self.arena[key.index()] = Some(EndpointState::new(facts, exclusive_from));
    }

    fn update_endpoint(
        &mut self,
        key: EndpointKey,
        facts: EndpointFacts,
        exclusive_from: ClockTime,
    ) {
        let node = self.settings.node;
        let Some(state) = self.arena[key.index()].as_ref() else {
            return;
        };
        if state.facts == facts && state.exclusive_from == exclusive_from {
            return;
        }
        let (before, counted_load) = (state.facts.clone(), state.counted_load);
        self.leave_pools(key, &before);
        if before.fleet != facts.fleet && before.takes_work() {
            self.fleets
                .entry(before.fleet)
                .or_default()
                .remove(counted_load);
            self.fleets
                .entry(facts.fleet)
                .or_default()
                .add(counted_load);
        }
        if facts.takes_work() {
            self.join_pools(key, &facts);
        }
        self.change(key, |state| {
            if facts.home != before.home {
                state.exclusive_from = exclusive_from;
                state.handover_reported = exclusive_from == ClockTime::ZERO;
                // The earlier home's requests are the load that was last reported, until a report
                // shows fewer.
                let last_load = if before.home == node {
                    0
                } else {
                    state.view.load
                };
                state.ledger.reset_to_inherited(last_load);
            } else if facts.home == node && exclusive_from != ClockTime::ZERO {
                state.update_exclusive_from(exclusive_from);
            }
            state.facts = facts;
        });
    }

    fn join_pools(&mut self, key: EndpointKey, facts: &EndpointFacts) {
        let seed = facts.id.0;
        for offer in &facts.offers {
            let pool = self.pools.entry(*offer).or_default();
            pool.push(PoolEntry { seed, key });
        }
    }

    fn leave_pools(&mut self, key: EndpointKey, facts: &EndpointFacts) {
        for offer in &facts.offers {
            if let Some(pool) = self.pools.get_mut(offer) {
                pool.retain(|entry| entry.key != key);
            }
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }
}
