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

/// What the table is told.
impl RouteTable {
    /// Adds an endpoint or changes what is known of it.
    ///
    /// `exclusive_from` is used where the home is new: from then on, and not before, the home may
    /// admit work, because an earlier home may still do so until then. It also waits for a report
    /// of the endpoint's load from after that moment, which shows what the earlier home left.
    /// [`ClockTime::ZERO`] stands for an endpoint that just started and never had another home; for
    /// one whose home stays the same it changes nothing, and any other time corrects the one given
    /// before.
    pub fn upsert_endpoint(&mut self, facts: EndpointFacts, exclusive_from: ClockTime) {
        match self.ids.get(&facts.id).copied() {
            None => self.insert_endpoint(facts, exclusive_from),
            Some(key) => self.update_endpoint(key, facts, exclusive_from),
        }
    }

    /// Forgets an endpoint.
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

    /// Takes in an endpoint's own report of its load; for its home only.
    ///
    /// Each report is to be handed in once, when it comes: its age counts from `now`. One handed in
    /// again later would pass for news, and hide what was sent to the endpoint since.
    pub fn observe_report(&mut self, endpoint: EndpointId, report: LoadReport, now: ClockTime) {
        if let Some(key) = self.ids.get(&endpoint).copied() {
            self.change(key, |state| state.observe(report, now));
        }
    }

    /// Takes in cache events of an engine that announces itself to this node.
    pub fn observe_cache(&mut self, endpoint: EndpointId, events: &[CacheEvent], now: ClockTime) {
        self.prefix_index.observe(endpoint, events, now);
    }

    /// Takes in the digest that an endpoint's home gives of it.
    pub fn observe_digest(&mut self, endpoint: EndpointId, digest: LoadDigest) {
        if let Some(key) = self.ids.get(&endpoint).copied() {
            self.change(key, |state| {
                state.view.observe(digest.load);
                state.ejected_by_home = digest.ejected;
            });
        }
    }

    /// What this node, as its home, tells others of an endpoint.
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

    /// A node is gone: its slots end after a while, since its requests may still run until the
    /// endpoints notice.
    pub fn expire_node_slots(&mut self, node: NodeId, now: ClockTime) {
        let ttl = self.settings.lost_node_slot_ttl;
        for key in self.keys() {
            self.change(key, |state| state.ledger.expire_all_within(node, now, ttl));
        }
    }

    /// A node owes an answer: what it told of its endpoints, and what it holds, no longer raises the
    /// mean.
    ///
    /// The node may be lost and its requests with it, and membership takes seconds to tell. Homes
    /// that went on by the higher mean would put their endpoints above the bound.
    pub fn mark_unresponsive(&mut self, node: NodeId) {
        if self.unresponsive.insert(node) {
            self.recount_loads();
        }
    }

    /// A node was last_load.
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

    /// Forgets unresponsive nodes on which nothing rests any more.
    fn forget_unresponsive(&mut self) {
        let states = || self.arena.iter().flatten();
        let is_referenced = |node: &NodeId| {
            states().any(|state| state.facts.home == *node || state.ledger.has_slots_of(*node))
        };
        let unresponsive = self.unresponsive.iter().copied();
        self.unresponsive = unresponsive.filter(is_referenced).collect();
    }

    /// Changes the multiple of the fleet mean that no endpoint may pass.
    pub fn set_multiple(&mut self, multiple: f64) {
        self.settings.bound.multiple = multiple;
    }

    /// The nodes that callers may be sent to.
    pub fn set_nodes(&mut self, nodes: &[NodeId]) {
        self.nodes = nodes.to_vec();
        self.nodes.sort_unstable();
        self.nodes.dedup();
    }

    /// Ends slots whose time is over; to be called about once a second.
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
                // An earlier home's work is what was last last_load of it, until a report says less.
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
