use std::time::Duration;

use ragwortroad_types::{
    ChatKey,
    ClockTime,
    EndpointId,
    NodeId,
    RefusalCode, //
};

use crate::{
    AdmissionClass,
    CustomerKey,
    EndpointKey,
    RouteDecision,
    RouteQuery,
    RouteReason,
    RouteTable,
    table::ranking::{
        Ranking,
        score, //
    }, //
};

/// Places tried before a request is refused: the first refusals come from this node's own account
/// or memory and cost no message.
const TRIES: usize = 4;

/// Requests of a customer refused one after the other from which on it counts as starved. Past
/// saturation everybody is refused now and then; that alone must change no share.
const STARVED_COUNT: u32 = 3;

/// How long a customer whose request was refused for want of room counts as starved.
pub(crate) const STARVED_SPAN: Duration = Duration::from_secs(5);

/// What the table decides.
impl RouteTable {
    /// Where a request goes now.
    pub fn choose(&mut self, query: &RouteQuery<'_>, now: ClockTime) -> RouteDecision {
        if !self.pools.contains_key(&query.offer) {
            return self.refuse(RefusalCode::NoEndpoint);
        }
        let mut known = None;
        for (endpoint, reason) in self.known_places(query) {
            let Some(key) = self.usable(endpoint, query) else {
                continue;
            };
            if let Some(decision) = self.try_place(key, reason, query, now) {
                return decision;
            }
            known = known.or(Some(key));
        }
        if let Some(retry_after) = known.and_then(|key| self.hold_for(key, query, now)) {
            return RouteDecision::Hold { retry_after };
        }
        let mut ranking = Ranking::new(query, &self.settings, known.is_some());
        for _ in 0..TRIES {
            let Some(key) = self.best_of(&mut ranking, query, now) else {
                break;
            };
            if let Some(decision) = self.try_place(key, RouteReason::Hash, query, now) {
                return decision;
            }
            ranking.skip(key);
        }
        if let Some(decision) = self.ask_anyway(query, now) {
            return decision;
        }
        if query.waited < self.settings.max_capacity_wait {
            let retry_after = self.settings.hold_interval;
            return RouteDecision::Hold { retry_after };
        }
        let refused = self.refused.entry(query.customer).or_default();
        *refused = (refused.0 + 1, now);
        self.refuse(RefusalCode::Overloaded)
    }

    /// Notes that a request of the customer was placed.
    pub fn record_placement(&mut self, customer: CustomerKey) {
        self.refused.remove(&customer);
    }

    /// Whether the customer's last requests here were all refused for want of room.
    fn is_starved(&self, customer: CustomerKey, now: ClockTime) -> bool {
        let refused = self.refused.get(&customer);
        refused.is_some_and(|(count, at)| *count >= STARVED_COUNT && now.since(*at) < STARVED_SPAN)
    }

    /// Asks a home for a starved customer although the endpoint looks full from here, once for a
    /// request.
    ///
    /// Under a surge the digests always say full, and only the home knows which customer has less
    /// than its share. A node that went by the digests alone would refuse a small customer for as
    /// long as a large one surges, while the homes keep room that nobody asks for.
    fn ask_anyway(&self, query: &RouteQuery<'_>, now: ClockTime) -> Option<RouteDecision> {
        if query.refusals > 0 || !self.is_starved(query.customer, now) {
            return None;
        }
        let pool = self.pools.get(&query.offer)?;
        let elsewhere = pool.iter().filter_map(|entry| {
            let state = self.arena[entry.key.index()].as_ref()?;
            let facts = &state.facts;
            let may_ask = !self.is_home(state) && state.view.full_until <= now;
            let usable = may_ask && !state.set_aside && !query.excluded.contains(&facts.id);
            usable.then_some((score(entry.seed, query.salt), facts.id, facts.home))
        });
        let (_, endpoint, home) = elsewhere.max_by_key(|(rank, ..)| *rank)?;
        Some(RouteDecision::AskHome {
            endpoint,
            home,
            reason: RouteReason::Hash,
            class: AdmissionClass::Starved,
        })
    }

    /// How long to wait for room at the place that holds the request's context, if it is worth it.
    ///
    /// Without this a chat whose engine is at its bound for a moment is computed anew elsewhere,
    /// which costs more of both engines than the wait costs the caller, and the chat's next turn
    /// finds its context split over two places.
    fn hold_for(
        &self,
        key: EndpointKey,
        query: &RouteQuery<'_>,
        now: ClockTime,
    ) -> Option<Duration> {
        let settings = &self.settings;
        let worth = settings.context_wait_per_block * query.prefixes.len() as u32;
        if query.waited >= worth.min(settings.max_context_wait) {
            return None;
        }
        let state = self.arena[key.index()].as_ref()?;
        if self.outliers.is_ejected(state.facts.id, now) || state.set_aside {
            return None;
        }
        if self.is_home(state) {
            return state.is_exclusive(now).then_some(settings.hold_interval);
        }
        let asked_again = state.view.full_until.since(now);
        Some(asked_again.max(settings.hold_interval))
    }

    /// The nodes a caller should use, best first.
    ///
    /// The first is the home of the engine that the chat was last on, so that most requests arrive
    /// where they can be admitted without a message. The rest follow a hash of the chat over the
    /// nodes, which stays the same as long as those nodes live.
    pub fn addresses_for(
        &self,
        chat: Option<ChatKey>,
        hint: Option<EndpointId>,
        salt: u64,
        count: usize,
    ) -> Vec<NodeId> {
        let key = chat.map_or(salt, |chat| chat.0);
        let mut ranked: Vec<(u64, NodeId)> = self
            .nodes
            .iter()
            .map(|node| (score(node.0, key), *node))
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        let place = hint.or_else(|| self.remembered(chat?));
        let first = place
            .and_then(|endpoint| self.state_of(endpoint))
            .map(|state| state.facts.home)
            .filter(|home| self.nodes.binary_search(home).is_ok());
        let mut nodes: Vec<NodeId> = first.into_iter().collect();
        let rest = ranked.into_iter().map(|(_, node)| node);
        nodes.extend(rest.filter(|node| Some(*node) != first));
        nodes.truncate(count);
        nodes
    }

    fn remembered(&self, chat: ChatKey) -> Option<EndpointId> {
        self.memory.get(chat.0).map(EndpointId)
    }

    /// Places that may hold the request's context, the likeliest first.
    fn known_places(
        &self,
        query: &RouteQuery<'_>,
    ) -> impl Iterator<Item = (EndpointId, RouteReason)> + use<> {
        let hint = query.hint.map(|endpoint| (endpoint, RouteReason::Hint));
        let memory = query
            .chat
            .and_then(|chat| self.remembered(chat))
            .map(|endpoint| (endpoint, RouteReason::Memory));
        // Events tell of this node's engines only. For a chat with a name they mostly find its
        // shared text here, which draws new chats to one engine; the hash spreads those better. A
        // request that names no chat has nothing else to go by.
        let unnamed = query.chat.is_none();
        let prefix = unnamed
            .then(|| self.prefixes.longest(query.prefixes))
            .flatten()
            .filter(|(_, blocks)| *blocks > self.settings.shared_prefix_block)
            .map(|(endpoint, _)| (endpoint, RouteReason::Prefix));
        [hint, memory, prefix].into_iter().flatten()
    }

    /// The endpoint's key, if it may take this request.
    fn usable(&self, endpoint: EndpointId, query: &RouteQuery<'_>) -> Option<EndpointKey> {
        let key = *self.ids.get(&endpoint)?;
        let state = self.arena[key.index()].as_ref()?;
        let serves = state.facts.offers.contains(&query.offer);
        let open = state.facts.takes_work() && !query.excluded.contains(&endpoint);
        (serves && open).then_some(key)
    }

    /// The best place of the ranking that seems to have room.
    fn best_of(
        &self,
        ranking: &mut Ranking,
        query: &RouteQuery<'_>,
        now: ClockTime,
    ) -> Option<EndpointKey> {
        let pool = self.pools.get(&query.offer)?;
        ranking.best(
            pool,
            |key| self.looks_open(key, AdmissionClass::Arriving, query, now),
            |key| self.fill_of(key),
        )
    }

    /// Whether an endpoint seems able to take one more request.
    fn looks_open(
        &self,
        key: EndpointKey,
        class: AdmissionClass,
        query: &RouteQuery<'_>,
        now: ClockTime,
    ) -> bool {
        let Some(state) = self.arena[key.index()].as_ref() else {
            return false;
        };
        if query.excluded.contains(&state.facts.id) {
            return false;
        }
        let limit = self.limit_of(state, now);
        if self.is_home(state) {
            return state.ledger.load() < limit && state.is_exclusive(now);
        }
        // A chat whose context is there asks again when its home said; to others the place stays
        // full until a digest tells otherwise, or a busy fleet spends itself on questions.
        let refused = state.view.full_until > now
            || (state.view.was_full && class == AdmissionClass::Arriving);
        state.view.expected() < limit && !refused && !state.set_aside
    }

    /// How full an endpoint seems, relative to its capacity.
    fn fill_of(&self, key: EndpointKey) -> f64 {
        let Some(state) = self.arena[key.index()].as_ref() else {
            return f64::MAX;
        };
        let load = if self.is_home(state) {
            state.ledger.load()
        } else {
            state.view.expected()
        };
        f64::from(load) / f64::from(state.facts.capacity.max(1))
    }

    /// Grants a slot here, or names the home to ask, or finds the place full.
    fn try_place(
        &mut self,
        key: EndpointKey,
        reason: RouteReason,
        query: &RouteQuery<'_>,
        now: ClockTime,
    ) -> Option<RouteDecision> {
        let class = match reason {
            _ if self.is_starved(query.customer, now) => AdmissionClass::Starved,
            RouteReason::Hash => AdmissionClass::Arriving,
            RouteReason::Hint | RouteReason::Memory | RouteReason::Prefix => {
                AdmissionClass::Returning
            }
        };
        if !self.looks_open(key, class, query, now) {
            return None;
        }
        let state = self.arena[key.index()].as_ref()?;
        let (endpoint, home) = (state.facts.id, state.facts.home);
        if !self.is_home(state) {
            return Some(RouteDecision::AskHome {
                endpoint,
                home,
                class,
                reason,
            });
        }
        let slot = self.take_slot(key, self.settings.node, query.customer, class, now)?;
        if let Some(chat) = query.chat {
            self.memory.put(chat.0, endpoint.0, now);
        }
        Some(RouteDecision::Admit {
            endpoint,
            slot,
            reason,
        })
    }

    fn refuse(&self, code: RefusalCode) -> RouteDecision {
        const REFUSED_WAIT: Duration = Duration::from_secs(1);
        RouteDecision::Refuse {
            code,
            retry_after: REFUSED_WAIT,
        }
    }
}
