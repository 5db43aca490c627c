use std::time::Duration;

use ragwortroad_routing::{
    LimitAnswer,
    RouteDecision,
    RouteQuery,
    SlotAnswer,
    SlotId,
    SlotOutcome, //
};
use ragwortroad_types::{
    ChatKey,
    EndpointId, //
};

use crate::{
    IdeaSet,
    PolicyKind,
    fake::fake_engine::{
        EngineNews,
        EngineWork, //
    },
    policy::baseline_view::hash_pair,
    run::{
        bench_event::BenchEvent,
        bench_node::customer_key,
        bench_run::{
            BenchRun,
            offer_of, //
        },
        live_request::LiveRequest, //
    },
    workload::arrival_plan::SURGING, //
};

/// Questions asked of homes for one request before it is refused.
const MOST_ASKED: u32 = 8;
/// Attempts sent for one request.
const MOST_ATTEMPTS: u32 = 3;

/// A request's way from its caller to an engine and back.
impl BenchRun<'_> {
    /// A request arrives at the node that its caller was told to use.
    pub(crate) fn arrive(&mut self) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.push_arrival();
        let planned = self.plan.arrivals[arrival];
        self.tally.arrived += 1;
        self.tally.arrived_small += u64::from(planned.customer as usize >= SURGING);
        let Some(node) = self.entry_node(arrival) else {
            self.tally.refused += 1;
            return;
        };
        let request = self.requests.len() as u32;
        self.requests.push(LiveRequest {
            arrival,
            node,
            arrived_ms: self.now,
            ..LiveRequest::default()
        });
        let clock = self.clock();
        if let PolicyKind::Homes(_) = self.policy {
            let customer = planned.customer as usize;
            let rate = self.limits[customer];
            let node = &mut self.nodes[node];
            node.declare(customer, rate, clock);
            let answer = node.limiter.admit(customer_key(customer), 0, clock);
            if matches!(answer, LimitAnswer::Refused { .. }) {
                self.requests[request as usize].over = true;
                self.tally.limited += 1;
                return;
            }
        }
        self.nodes[node].budget.record_first_attempt();
        self.place(request);
    }

    /// The first of the addresses told to the caller that answers.
    fn entry_node(&self, arrival: usize) -> Option<usize> {
        let planned = &self.plan.arrivals[arrival];
        let alive = self.alive_nodes();
        let turn = hash_pair(arrival as u64, 2) as usize % alive.len().max(1);
        let told_by = *alive.iter().nth(turn)?;
        let chat = chat_key(planned.chat);
        let told = self.nodes[told_by].table.addresses_for(
            Some(chat),
            self.hint_of(arrival),
            0,
            self.spec.nodes,
        );
        let told = told.into_iter().filter_map(|id| self.node_index(id));
        told.into_iter().find(|node| self.nodes[*node].alive)
    }

    /// The hint a caller hands back.
    fn hint_of(&self, arrival: usize) -> Option<EndpointId> {
        let planned = &self.plan.arrivals[arrival];
        let uses = matches!(self.policy, PolicyKind::Homes(IdeaSet { hints: true, .. }));
        if !uses || !planned.keeps_hints {
            return None;
        }
        self.hints[planned.chat as usize].map(|engine| self.engine_ids[engine])
    }

    /// Finds the next place for a request.
    pub(crate) fn place(&mut self, request: u32) {
        if self.requests[request as usize].over {
            return;
        }
        match self.policy {
            PolicyKind::Homes(_) => self.place_by_table(request),
            PolicyKind::Planner => match self.plan_engine(request) {
                Some(engine) => self.send(request, engine),
                None => self.refuse(request),
            },
            policy => {
                let live = &self.requests[request as usize];
                let planned = &self.plan.arrivals[live.arrival];
                let key = chat_key(planned.chat).0;
                let model = self.model_of(live.arrival);
                let view = &mut self.nodes[live.node].view;
                match view.choose(policy, &self.pools[model], key, &live.excluded) {
                    Some(engine) => self.send(request, engine),
                    None => self.refuse(request),
                }
            }
        }
    }

    fn place_by_table(&mut self, request: u32) {
        let clock = self.clock();
        let live = &self.requests[request as usize];
        let (arrival, node) = (live.arrival, live.node);
        let planned = self.plan.arrivals[arrival];
        let prefixes = self.chain_of(arrival);
        let query = RouteQuery {
            offer: offer_of(self.model_of(arrival)),
            customer: customer_key(planned.customer as usize),
            chat: Some(chat_key(planned.chat)),
            prefixes: &prefixes,
            hint: self.hint_of(arrival),
            excluded: &live.excluded_ids,
            salt: u64::from(request),
            refusals: live.refusals,
            waited: Duration::from_millis(self.now - live.arrived_ms),
        };
        match self.nodes[node].table.choose(&query, clock) {
            RouteDecision::Admit { endpoint, slot, .. } => {
                let engine = self.engine_index(endpoint);
                self.requests[request as usize].slot = Some((node, slot));
                self.send(request, engine);
            }
            RouteDecision::AskHome {
                endpoint,
                home,
                class: claim,
                ..
            } => {
                let engine = self.engine_index(endpoint);
                let live = &mut self.requests[request as usize];
                live.engine = engine;
                live.asked += 1;
                live.claim = claim;
                if live.asked > MOST_ASKED {
                    return self.refuse(request);
                }
                let Some(home) = self.node_index(home) else {
                    return self.refuse(request);
                };
                self.tally.asked += 1;
                self.tally.bytes.ask();
                let at = self.now + self.delay(node, home);
                let home = home as u32;
                self.queue.push(at, BenchEvent::Ask { request, home });
            }
            RouteDecision::Hold { retry_after } => {
                self.tally.held_ms += retry_after.as_millis() as u64;
                let at = self.now + (retry_after.as_millis() as u64).max(1);
                self.queue.push(at, BenchEvent::Look { request });
            }
            RouteDecision::Refuse { .. } => self.refuse(request),
        }
    }

    /// A question reaches the home, which answers at once; a dead one never does, and the asker
    /// goes on after a short time.
    pub(crate) fn ask_reached(&mut self, request: u32, home: usize) {
        const SILENCE_MS: u64 = 50;
        let clock = self.clock();
        let live = &self.requests[request as usize];
        let (node, engine, claim) = (live.node, live.engine, live.claim);
        let customer = self.plan.arrivals[live.arrival].customer as usize;
        if !self.nodes[home].alive {
            let answer = SlotAnswer::NotHome { home: None };
            let at = self.now + SILENCE_MS;
            self.queue.push(at, BenchEvent::Answer { request, answer });
            return;
        }
        let answer = self.nodes[home].table.grant_slot(
            self.engine_ids[engine],
            self.node_ids[node],
            customer_key(customer),
            claim,
            clock,
        );
        if let SlotAnswer::Granted { slot } = answer {
            self.requests[request as usize].slot = Some((home, slot));
        }
        self.tally.bytes.answer();
        let at = self.now + self.delay(home, node);
        self.queue.push(at, BenchEvent::Answer { request, answer });
    }

    /// The home's answer reaches the asker.
    pub(crate) fn answer_reached(&mut self, request: u32, answer: SlotAnswer) {
        let clock = self.clock();
        let live = &self.requests[request as usize];
        if live.over {
            return;
        }
        let (node, engine) = (live.node, live.engine);
        let chat = chat_key(self.plan.arrivals[live.arrival].chat);
        let id = self.engine_ids[engine];
        self.nodes[node]
            .table
            .record_answer(id, answer, Some(chat), clock);
        if let SlotAnswer::Granted { .. } = answer {
            return self.send(request, engine);
        }
        self.requests[request as usize].refusals += 1;
        self.place(request);
    }

    /// Sends a request to an engine.
    fn send(&mut self, request: u32, engine: usize) {
        let live = &mut self.requests[request as usize];
        live.engine = engine;
        live.attempts += 1;
        let (node, arrival) = (live.node, live.arrival);
        let customer = self.plan.arrivals[arrival].customer as usize;
        self.nodes[node]
            .table
            .record_placement(customer_key(customer));
        let node = live.node;
        self.on_way[engine] += 1;
        self.nodes[node].view.engines[engine].sent += 1;
        let at = self.now + self.delay(node, engine);
        let engine = engine as u32;
        self.queue.push(at, BenchEvent::Reach { request, engine });
    }

    /// A request reaches its engine.
    pub(crate) fn engine_reached(&mut self, request: u32, engine: usize) {
        self.on_way[engine] -= 1;
        if !self.engines[engine].alive {
            return self.push_ended(request, engine, false);
        }
        let arrival = self.requests[request as usize].arrival;
        let work = EngineWork {
            request,
            chain: self.chain_of(arrival),
            after: self.chain_to(arrival, self.spec.turn_blocks),
            answer: self.plan.arrivals[arrival].answer,
            prefill: 0,
            cached: 0,
        };
        self.engines[engine].push(work);
        self.change_load(engine, 1);
        if !self.engines[engine].busy {
            self.begin_step(engine);
        }
    }

    /// An engine's step ends.
    pub(crate) fn step_ended(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for news in self.engines[engine].end_step() {
            match news {
                EngineNews::First(request, cached) => self.note_first(request, engine, cached),
                EngineNews::Done(request) => {
                    self.change_load(engine, -1);
                    self.push_ended(request, engine, true);
                }
            }
        }
        self.begin_step(engine);
    }

    fn begin_step(&mut self, engine: usize) {
        let fake = &mut self.engines[engine];
        let incarnation = fake.incarnation;
        if let Some(takes) = fake.begin_step() {
            let engine = engine as u32;
            let step = BenchEvent::Step {
                engine,
                incarnation,
            };
            self.queue.push(self.now + takes, step);
        }
    }

    fn note_first(&mut self, request: u32, engine: usize, cached: u32) {
        let live = &self.requests[request as usize];
        let planned = &self.plan.arrivals[live.arrival];
        let reusable = self.spec.plan_blocks + planned.context_blocks;
        self.tally.reusable += u64::from(reusable);
        self.tally.reused += u64::from(cached.min(reusable));
        let took = self.now - live.arrived_ms;
        self.tally.first_token.saturating_record(took.max(1));
        if planned.customer as usize >= SURGING {
            self.tally.first_token_small.saturating_record(took.max(1));
        }
        let place = &mut self.places[planned.chat as usize];
        self.tally.moves += u64::from(place.is_some_and(|place| place != engine));
        *place = Some(engine);
    }

    pub(crate) fn push_ended(&mut self, request: u32, engine: usize, whole: bool) {
        let node = self.requests[request as usize].node;
        let at = self.now + self.delay(engine, node);
        self.queue.push(at, BenchEvent::Ended { request, whole });
    }

    /// The end of an attempt reaches the node.
    pub(crate) fn attempt_ended(&mut self, request: u32, whole: bool) {
        let live = &self.requests[request as usize];
        if live.over {
            return;
        }
        let (node, engine, attempts) = (live.node, live.engine, live.attempts);
        let chat = self.plan.arrivals[live.arrival].chat as usize;
        self.give_back(request, whole);
        if whole {
            self.tally.completed += 1;
            self.hints[chat] = Some(engine);
            return self.end(request);
        }
        self.tally.failed += 1;
        self.exclude(request, engine);
        if attempts < MOST_ATTEMPTS && self.nodes[node].budget.try_retry() {
            self.tally.retried += 1;
            return self.place(request);
        }
        self.tally.lost += 1;
        self.end(request);
    }

    /// Gives a request's slot back to the home that granted it.
    fn give_back(&mut self, request: u32, whole: bool) {
        let outcome = if whole {
            SlotOutcome::Succeeded
        } else {
            SlotOutcome::Failed
        };
        let clock = self.clock();
        let live = &mut self.requests[request as usize];
        let (node, engine) = (live.node, live.engine);
        let Some((home, slot)) = live.slot.take() else {
            return;
        };
        let id = self.engine_ids[engine];
        if home == node {
            return self.nodes[node].table.release(id, slot, outcome, clock);
        }
        self.nodes[node].table.observe_outcome(id, outcome, clock);
        self.tally.bytes.release();
        let at = self.now + self.delay(node, home);
        let release = BenchEvent::Release {
            home: home as u32,
            engine: engine as u32,
            slot,
            outcome,
        };
        self.queue.push(at, release);
    }

    /// A slot given back reaches the home.
    pub(crate) fn release_reached(
        &mut self,
        home: usize,
        engine: usize,
        slot: SlotId,
        outcome: SlotOutcome,
    ) {
        let clock = self.clock();
        if self.nodes[home].alive {
            let id = self.engine_ids[engine];
            self.nodes[home].table.release(id, slot, outcome, clock);
        }
    }

    fn refuse(&mut self, request: u32) {
        let live = &self.requests[request as usize];
        let customer = self.plan.arrivals[live.arrival].customer as usize;
        self.tally.refused += 1;
        self.tally.refused_small += u64::from(customer >= SURGING);
        self.end(request);
    }

    fn end(&mut self, request: u32) {
        let live = &mut self.requests[request as usize];
        live.over = true;
        let customer = self.plan.arrivals[live.arrival].customer as usize;
        if let PolicyKind::Homes(_) = self.policy {
            let node = &mut self.nodes[live.node];
            node.limiter.finish(customer_key(customer), 0, 0);
        }
    }

    fn exclude(&mut self, request: u32, engine: usize) {
        let live = &mut self.requests[request as usize];
        live.excluded.push(engine);
        live.excluded_ids.push(self.engine_ids[engine]);
    }

    /// Changes the true load of an engine.
    pub(crate) fn change_load(&mut self, engine: usize, by: i32) {
        self.loads[engine] = self.loads[engine].saturating_add_signed(by);
        let model = self.engine_models[engine];
        self.trackers[model].set(engine, self.loads[engine], self.now);
    }

    fn engine_index(&self, id: EndpointId) -> usize {
        let index = self.engine_ids.iter().position(|engine| *engine == id);
        index.unwrap_or_else(|| unreachable!("the table names an engine it was never told of"))
    }
}

/// The key of a chat by its number.
fn chat_key(chat: u32) -> ChatKey {
    ChatKey(hash_pair(u64::from(chat), 3))
}
