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
    table::endpoint_ranking::{
        EndpointRanking,
        score, //
    }, //
};

/// Endpoints tried before a request is refused. The first refusals come from this node's own
/// ledgers and load estimates and cost no message.
const MAX_CANDIDATES: usize = 4;

/// Consecutive refused requests after which a customer counts as starved. Past saturation every
/// customer is refused now and then, which alone must not change any share.
const STARVED_AFTER_REFUSALS: u32 = 3;

/// How long a customer counts as starved after one of its requests was refused for lack of
/// capacity.
pub(crate) const STARVED_TTL: Duration = Duration::from_secs(5);

/// Routing decisions.
impl RouteTable {
    /// Decides where a request goes.
    pub fn choose(&mut self, query: &RouteQuery<'_>, now: ClockTime) -> RouteDecision {
        if !self.pools.contains_key(&query.offer) {
            return self.refuse(RefusalCode::NoEndpoint);
        }
        let mut context_holder = None;
        for (endpoint, reason) in self.affinity_candidates(query) {
            let Some(key) = self.eligible(endpoint, query) else {
                continue;
            };
            if let Some(decision) = self.try_endpoint(key, reason, query, now) {
                return decision;
            }
            context_holder = context_holder.or(Some(key));
        }
        if let Some(retry_after) = context_holder.and_then(|key| self.context_wait(key, query, now))
        {
            return RouteDecision::Hold { retry_after };
        }
        let mut ranking = EndpointRanking::new(query, &self.settings, context_holder.is_some());
        for _ in 0..MAX_CANDIDATES {
            let Some(key) = self.best_ranked(&mut ranking, query, now) else {
                break;
            };
            if let Some(decision) = self.try_endpoint(key, RouteReason::Hash, query, now) {
                return decision;
            }
            ranking.skip(key);
        }
        if let Some(decision) = self.ask_for_starved(query, now) {
            return decision;
        }
        if query.waited < self.settings.max_capacity_wait {
            let retry_after = self.settings.hold_interval;
            return RouteDecision::Hold { retry_after };
        }
        let refused = self.recent_refusals.entry(query.customer).or_default();
        *refused = (refused.0 + 1, now);
        self.refuse(RefusalCode::Overloaded)
    }

    /// Records that a request of the customer was placed.
    pub fn record_placement(&mut self, customer: CustomerKey) {
        self.recent_refusals.remove(&customer);
    }

    /// Whether the customer's recent requests were all refused here for lack of capacity.
    fn is_starved(&self, customer: CustomerKey, now: ClockTime) -> bool {
        let refused = self.recent_refusals.get(&customer);
        refused.is_some_and(|(count, at)| {
            *count >= STARVED_AFTER_REFUSALS && now.since(*at) < STARVED_TTL
        })
    }

    /// Asks a home for a slot for a starved customer although the endpoint looks full to this node,
    /// once per request.
    ///
    /// Under overload the digests always report full endpoints, and only the home knows which
    /// customer has less than its share. A node that relied on the digests would refuse a small
    /// customer for as long as a large one sends too much, while the homes reserve capacity that
    /// nobody asks for.
    fn ask_for_starved(&self, query: &RouteQuery<'_>, now: ClockTime) -> Option<RouteDecision> {
        if query.refusals > 0 || !self.is_starved(query.customer, now) {
            return None;
        }
        let pool = self.pools.get(&query.offer)?;
        let remote = pool.iter().filter_map(|entry| {
            let state = self.arena[entry.key.index()].as_ref()?;
            let facts = &state.facts;
            let is_askable = !self.is_home(state) && state.view.full_until <= now;
            let usable =
                is_askable && !state.ejected_by_home && !query.excluded.contains(&facts.id);
            usable.then_some((score(entry.seed, query.salt), facts.id, facts.home))
        });
        let (_, endpoint, home) = remote.max_by_key(|(rank, ..)| *rank)?;
        Some(RouteDecision::AskHome {
            endpoint,
            home,
            reason: RouteReason::Hash,
            class: AdmissionClass::Starved,
        })
    }

    /// Returns how long to wait for capacity at the endpoint that holds the request's context, or
    /// `None` if the wait is not worth it.
    ///
    /// Otherwise a chat whose engine is at its bound for a moment would be recomputed elsewhere.
    /// That costs both engines more than the wait costs the client, and leaves the context of the
    /// next turn split over two engines.
    fn context_wait(
        &self,
        key: EndpointKey,
        query: &RouteQuery<'_>,
        now: ClockTime,
    ) -> Option<Duration> {
        let settings = &self.settings;
        let max_wait = settings.context_wait_per_block * query.prefixes.len() as u32;
        if query.waited >= max_wait.min(settings.max_context_wait) {
            return None;
        }
        let state = self.arena[key.index()].as_ref()?;
        if self.outliers.is_ejected(state.facts.id, now) || state.ejected_by_home {
            return None;
        }
        if self.is_home(state) {
            return state.is_exclusive(now).then_some(settings.hold_interval);
        }
        let until_retry = state.view.full_until.since(now);
        Some(until_retry.max(settings.hold_interval))
    }

    /// Returns the nodes that a client should use, best first.
    ///
    /// The first is the home of the chat's last engine, so that most requests arrive where they can
    /// be admitted without a message. The others follow a hash of the chat over the nodes, which is
    /// stable as long as those nodes live.
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
        let previous = hint.or_else(|| self.last_endpoint(chat?));
        let first = previous
            .and_then(|endpoint| self.state_of(endpoint))
            .map(|state| state.facts.home)
            .filter(|home| self.nodes.binary_search(home).is_ok());
        let mut nodes: Vec<NodeId> = first.into_iter().collect();
        let rest = ranked.into_iter().map(|(_, node)| node);
        nodes.extend(rest.filter(|node| Some(*node) != first));
        nodes.truncate(count);
        nodes
    }

    fn last_endpoint(&self, chat: ChatKey) -> Option<EndpointId> {
        self.chat_map.get(chat.0).map(EndpointId)
    }

    /// Returns endpoints that may hold the request's context, the most likely first.
    fn affinity_candidates(
        &self,
        query: &RouteQuery<'_>,
    ) -> impl Iterator<Item = (EndpointId, RouteReason)> + use<> {
        let hint = query.hint.map(|endpoint| (endpoint, RouteReason::Hint));
        let memory = query
            .chat
            .and_then(|chat| self.last_endpoint(chat))
            .map(|endpoint| (endpoint, RouteReason::Memory));
        // Cache events come only from engines whose home is this node. For a chat with a key they
        // mostly match its shared prefix here, which would draw new chats to one engine; the hash
        // distributes those better. A request without a chat has no other indication of its
        // context.
        let has_no_chat = query.chat.is_none();
        let prefix = has_no_chat
            .then(|| self.prefix_index.longest(query.prefixes))
            .flatten()
            .filter(|(_, blocks)| *blocks > self.settings.shared_prefix_block)
            .map(|(endpoint, _)| (endpoint, RouteReason::Prefix));
        [hint, memory, prefix].into_iter().flatten()
    }

    /// Returns the endpoint's key, if it may receive this request.
    fn eligible(&self, endpoint: EndpointId, query: &RouteQuery<'_>) -> Option<EndpointKey> {
        let key = *self.ids.get(&endpoint)?;
        let state = self.arena[key.index()].as_ref()?;
        let serves = state.facts.offers.contains(&query.offer);
        let open = state.facts.takes_work() && !query.excluded.contains(&endpoint);
        (serves && open).then_some(key)
    }

    /// Returns the best endpoint of the ranking that seems to have capacity.
    fn best_ranked(
        &self,
        ranking: &mut EndpointRanking,
        query: &RouteQuery<'_>,
        now: ClockTime,
    ) -> Option<EndpointKey> {
        let pool = self.pools.get(&query.offer)?;
        ranking.best(
            pool,
            |key| self.seems_available(key, AdmissionClass::Arriving, query, now),
            |key| self.utilization_of(key),
        )
    }

    /// Whether an endpoint seems to have capacity for one more request.
    fn seems_available(
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
        let limit = self.load_limit(state, now);
        if self.is_home(state) {
            return state.ledger.load() < limit && state.is_exclusive(now);
        }
        // A chat with context at the endpoint asks again at the time that the home gave. To other
        // requests it stays full until the next digest, because otherwise the nodes of a busy fleet
        // would mostly ask each other for slots in vain.
        let refused = state.view.full_until > now
            || (state.view.was_full && class == AdmissionClass::Arriving);
        state.view.estimated_load() < limit && !refused && !state.ejected_by_home
    }

    /// Returns how full an endpoint seems, as a fraction of its capacity.
    fn utilization_of(&self, key: EndpointKey) -> f64 {
        let Some(state) = self.arena[key.index()].as_ref() else {
            return f64::MAX;
        };
        let load = if self.is_home(state) {
            state.ledger.load()
        } else {
            state.view.estimated_load()
        };
        f64::from(load) / f64::from(state.facts.capacity.max(1))
    }

    /// Grants a slot here or names the home to ask; `None` where the endpoint is full.
    fn try_endpoint(
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
        if !self.seems_available(key, class, query, now) {
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
            self.chat_map.put(chat.0, endpoint.0, now);
        }
        Some(RouteDecision::Admit {
            endpoint,
            slot,
            reason,
        })
    }

    fn refuse(&self, code: RefusalCode) -> RouteDecision {
        const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);
        RouteDecision::Refuse {
            code,
            retry_after: REFUSED_RETRY_AFTER,
        }
    }
}
