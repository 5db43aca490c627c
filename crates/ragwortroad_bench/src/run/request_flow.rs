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
    FeatureSet,
    PolicyKind,
    fake::fake_engine::{
        EngineRequest,
        StepOutput, //
    },
    policy::baseline_view::hash_pair,
    run::{
        bench_event::BenchEvent,
        bench_node::customer_key,
        bench_run::{
            BenchRun,
            model_offer, //
        },
        live_request::LiveRequest, //
    },
    workload::arrival_plan::SURGING_CUSTOMERS, //
};

/// Slot requests made for a request before it is refused.
const MAX_SLOT_REQUESTS: u32 = 8;
/// Attempts made for a request before it fails.
const MAX_ATTEMPTS: u32 = 3;

/// The path of a request from its client to an engine and back.
impl BenchRun<'_> {
    /// Handles the arrival of a request at the node that its client was directed to.
    pub(crate) fn handle_arrival(&mut self) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.schedule_next_arrival();
        let planned = self.arrival_plan.arrivals[arrival];
        self.tally.arrived += 1;
        self.tally.arrived_small += u64::from(planned.customer as usize >= SURGING_CUSTOMERS);
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
            let rate = self.customer_limits[customer];
            let node = &mut self.nodes[node];
            node.declare_limit(customer, rate, clock);
            let answer = node.limiter.admit(customer_key(customer), 0, clock);
            if matches!(answer, LimitAnswer::Refused { .. }) {
                self.requests[request as usize].finished = true;
                self.tally.limited += 1;
                return;
            }
        }
        self.nodes[node].retry_budget.record_first_attempt();
        self.place_request(request);
    }

    /// Returns the first live node among the addresses that a client receives for the request.
    fn entry_node(&self, arrival: usize) -> Option<usize> {
        let planned = &self.arrival_plan.arrivals[arrival];
        let alive = self.alive_nodes();
        let index = hash_pair(arrival as u64, 2) as usize % alive.len().max(1);
        let responder = *alive.iter().nth(index)?;
        let chat = chat_key(planned.chat);
        let addresses = self.nodes[responder].table.addresses_for(
            Some(chat),
            self.returned_hint(arrival),
            0,
            self.spec.nodes,
        );
        let addresses = addresses.into_iter().filter_map(|id| self.node_index(id));
        addresses.into_iter().find(|node| self.nodes[*node].alive)
    }

    /// Returns the placement hint that the client sends, if any.
    fn returned_hint(&self, arrival: usize) -> Option<EndpointId> {
        let planned = &self.arrival_plan.arrivals[arrival];
        let uses_hints = matches!(
            self.policy,
            PolicyKind::Homes(FeatureSet { hints: true, .. })
        );
        if !uses_hints || !planned.returns_hints {
            return None;
        }
        self.chat_hints[planned.chat as usize].map(|engine| self.engine_ids[engine])
    }

    /// Routes a request that has not ended.
    pub(crate) fn place_request(&mut self, request: u32) {
        if self.requests[request as usize].finished {
            return;
        }
        match self.policy {
            PolicyKind::Homes(_) => self.place_with_table(request),
            PolicyKind::Planner => match self.choose_by_planner(request) {
                Some(engine) => self.send_request(request, engine),
                None => self.refuse_request(request),
            },
            policy => {
                let live = &self.requests[request as usize];
                let planned = &self.arrival_plan.arrivals[live.arrival];
                let key = chat_key(planned.chat).0;
                let model = self.arrival_model(live.arrival);
                let view = &mut self.nodes[live.node].baseline_view;
                match view.choose(policy, &self.model_engines[model], key, &live.excluded) {
                    Some(engine) => self.send_request(request, engine),
                    None => self.refuse_request(request),
                }
            }
        }
    }

    fn place_with_table(&mut self, request: u32) {
        let clock = self.clock();
        let live = &self.requests[request as usize];
        let (arrival, node) = (live.arrival, live.node);
        let planned = self.arrival_plan.arrivals[arrival];
        let prefixes = self.prompt_chain(arrival);
        let query = RouteQuery {
            offer: model_offer(self.arrival_model(arrival)),
            customer: customer_key(planned.customer as usize),
            chat: Some(chat_key(planned.chat)),
            prefixes: &prefixes,
            hint: self.returned_hint(arrival),
            excluded: &live.excluded_ids,
            salt: u64::from(request),
            refusals: live.refusals,
            waited: Duration::from_millis(self.now - live.arrived_ms),
        };
        match self.nodes[node].table.choose(&query, clock) {
            RouteDecision::Admit { endpoint, slot, .. } => {
                let engine = self.engine_index(endpoint);
                self.requests[request as usize].slot = Some((node, slot));
                self.send_request(request, engine);
            }
            RouteDecision::AskHome {
                endpoint,
                home,
                class,
                ..
            } => {
                let engine = self.engine_index(endpoint);
                let live = &mut self.requests[request as usize];
                live.engine = engine;
                live.slot_requests += 1;
                live.class = class;
                if live.slot_requests > MAX_SLOT_REQUESTS {
                    return self.refuse_request(request);
                }
                let Some(home) = self.node_index(home) else {
                    return self.refuse_request(request);
                };
                self.tally.slot_requests += 1;
                self.tally.control_bytes.add_slot_request();
                let at = self.now + self.draw_delay(node, home);
                let home = home as u32;
                self.queue
                    .push(at, BenchEvent::SlotRequested { request, home });
            }
            RouteDecision::Hold { retry_after } => {
                self.tally.held_ms += retry_after.as_millis() as u64;
                let at = self.now + (retry_after.as_millis() as u64).max(1);
                self.queue.push(at, BenchEvent::PlacementRetry { request });
            }
            RouteDecision::Refuse { .. } => self.refuse_request(request),
        }
    }

    /// Handles a slot request that reaches the home, which answers at once. A failed home never
    /// answers; the requester continues after `SLOT_REQUEST_TIMEOUT_MS`.
    pub(crate) fn handle_slot_request(&mut self, request: u32, home: usize) {
        const SLOT_REQUEST_TIMEOUT_MS: u64 = 50;
        let clock = self.clock();
        let live = &self.requests[request as usize];
        let (node, engine, class) = (live.node, live.engine, live.class);
        let customer = self.arrival_plan.arrivals[live.arrival].customer as usize;
        if !self.nodes[home].alive {
            let answer = SlotAnswer::NotHome { home: None };
            let at = self.now + SLOT_REQUEST_TIMEOUT_MS;
            self.queue
                .push(at, BenchEvent::SlotAnswered { request, answer });
            return;
        }
        let answer = self.nodes[home].table.grant_slot(
            self.engine_ids[engine],
            self.node_ids[node],
            customer_key(customer),
            class,
            clock,
        );
        if let SlotAnswer::Granted { slot } = answer {
            self.requests[request as usize].slot = Some((home, slot));
        }
        self.tally.control_bytes.add_slot_answer();
        let at = self.now + self.draw_delay(home, node);
        self.queue
            .push(at, BenchEvent::SlotAnswered { request, answer });
    }

    /// Handles the home's answer, which reaches the requester.
    pub(crate) fn handle_slot_answer(&mut self, request: u32, answer: SlotAnswer) {
        let clock = self.clock();
        let live = &self.requests[request as usize];
        if live.finished {
            return;
        }
        let (node, engine) = (live.node, live.engine);
        let chat = chat_key(self.arrival_plan.arrivals[live.arrival].chat);
        let id = self.engine_ids[engine];
        self.nodes[node]
            .table
            .record_answer(id, answer, Some(chat), clock);
        if let SlotAnswer::Granted { .. } = answer {
            return self.send_request(request, engine);
        }
        self.requests[request as usize].refusals += 1;
        self.place_request(request);
    }

    /// Sends a request to an engine and counts the attempt.
    fn send_request(&mut self, request: u32, engine: usize) {
        let live = &mut self.requests[request as usize];
        live.engine = engine;
        live.attempts += 1;
        let (node, arrival) = (live.node, live.arrival);
        let customer = self.arrival_plan.arrivals[arrival].customer as usize;
        self.nodes[node]
            .table
            .record_placement(customer_key(customer));
        let node = live.node;
        self.in_transit[engine] += 1;
        self.nodes[node].baseline_view.engines[engine].sent_since_report += 1;
        let at = self.now + self.draw_delay(node, engine);
        let engine = engine as u32;
        self.queue
            .push(at, BenchEvent::EngineReached { request, engine });
    }

    /// Handles a request that reaches its engine; on a failed engine the attempt fails.
    pub(crate) fn handle_engine_arrival(&mut self, request: u32, engine: usize) {
        self.in_transit[engine] -= 1;
        if !self.engines[engine].alive {
            return self.schedule_attempt_end(request, engine, false);
        }
        let arrival = self.requests[request as usize].arrival;
        let engine_request = EngineRequest {
            request,
            prompt: self.prompt_chain(arrival),
            prompt_and_answer: self.extended_chain(arrival, self.spec.turn_blocks),
            remaining_tokens: self.arrival_plan.arrivals[arrival].answer_tokens,
            prefill_tokens: 0,
            cached_blocks: 0,
        };
        self.engines[engine].enqueue(engine_request);
        self.adjust_load(engine, 1);
        if !self.engines[engine].step_running {
            self.begin_step(engine);
        }
    }

    /// Handles the end of an engine's step and starts the next one.
    pub(crate) fn handle_step_end(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for output in self.engines[engine].end_step() {
            match output {
                StepOutput::FirstToken(request, cached) => {
                    self.record_first_token(request, engine, cached)
                }
                StepOutput::Finished(request) => {
                    self.adjust_load(engine, -1);
                    self.schedule_attempt_end(request, engine, true);
                }
            }
        }
        self.begin_step(engine);
    }

    fn begin_step(&mut self, engine: usize) {
        let fake = &mut self.engines[engine];
        let incarnation = fake.incarnation;
        if let Some(step_ms) = fake.begin_step() {
            let engine = engine as u32;
            let step = BenchEvent::StepEnded {
                engine,
                incarnation,
            };
            self.queue.push(self.now + step_ms, step);
        }
    }

    fn record_first_token(&mut self, request: u32, engine: usize, cached: u32) {
        let live = &self.requests[request as usize];
        let planned = &self.arrival_plan.arrivals[live.arrival];
        let reusable = self.spec.shared_prefix_blocks + planned.context_blocks;
        self.tally.reusable += u64::from(reusable);
        self.tally.reused += u64::from(cached.min(reusable));
        let elapsed = self.now - live.arrived_ms;
        self.tally.first_token.saturating_record(elapsed.max(1));
        if planned.customer as usize >= SURGING_CUSTOMERS {
            self.tally
                .first_token_small
                .saturating_record(elapsed.max(1));
        }
        let last_engine = &mut self.chat_engines[planned.chat as usize];
        self.tally.moves += u64::from(last_engine.is_some_and(|last| last != engine));
        *last_engine = Some(engine);
    }

    pub(crate) fn schedule_attempt_end(&mut self, request: u32, engine: usize, succeeded: bool) {
        let node = self.requests[request as usize].node;
        let at = self.now + self.draw_delay(engine, node);
        self.queue
            .push(at, BenchEvent::AttemptEnded { request, succeeded });
    }

    /// Handles the end of an attempt, which reaches the node; a failed attempt is retried within
    /// the retry budget.
    pub(crate) fn handle_attempt_end(&mut self, request: u32, succeeded: bool) {
        let live = &self.requests[request as usize];
        if live.finished {
            return;
        }
        let (node, engine, attempts) = (live.node, live.engine, live.attempts);
        let chat = self.arrival_plan.arrivals[live.arrival].chat as usize;
        self.release_slot(request, succeeded);
        if succeeded {
            self.tally.completed += 1;
            self.chat_hints[chat] = Some(engine);
            return self.finish_request(request);
        }
        self.tally.failed += 1;
        self.exclude_engine(request, engine);
        if attempts < MAX_ATTEMPTS && self.nodes[node].retry_budget.try_retry() {
            self.tally.retried += 1;
            return self.place_request(request);
        }
        self.tally.lost += 1;
        self.finish_request(request);
    }

    /// Releases a request's slot at the home that granted it.
    fn release_slot(&mut self, request: u32, succeeded: bool) {
        let outcome = if succeeded {
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
        self.tally.control_bytes.add_release();
        let at = self.now + self.draw_delay(node, home);
        let release = BenchEvent::SlotReleased {
            home: home as u32,
            engine: engine as u32,
            slot,
            outcome,
        };
        self.queue.push(at, release);
    }

    /// Handles the release of a slot that reaches the home.
    pub(crate) fn handle_release(
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

    fn refuse_request(&mut self, request: u32) {
        let live = &self.requests[request as usize];
        let customer = self.arrival_plan.arrivals[live.arrival].customer as usize;
        self.tally.refused += 1;
        self.tally.refused_small += u64::from(customer >= SURGING_CUSTOMERS);
        self.finish_request(request);
    }

    fn finish_request(&mut self, request: u32) {
        let live = &mut self.requests[request as usize];
        live.finished = true;
        let customer = self.arrival_plan.arrivals[live.arrival].customer as usize;
        if let PolicyKind::Homes(_) = self.policy {
            let node = &mut self.nodes[live.node];
            node.limiter.finish(customer_key(customer), 0, 0);
        }
    }

    fn exclude_engine(&mut self, request: u32, engine: usize) {
        let live = &mut self.requests[request as usize];
        live.excluded.push(engine);
        live.excluded_ids.push(self.engine_ids[engine]);
    }

    /// Changes the actual load of an engine.
    pub(crate) fn adjust_load(&mut self, engine: usize, delta: i32) {
        self.engine_loads[engine] = self.engine_loads[engine].saturating_add_signed(delta);
        let model = self.engine_models[engine];
        self.skew_trackers[model].update_load(engine, self.engine_loads[engine], self.now);
    }

    fn engine_index(&self, id: EndpointId) -> usize {
        let index = self.engine_ids.iter().position(|engine| *engine == id);
        index.unwrap_or_else(|| unreachable!("the route table returned an unknown endpoint"))
    }
}

/// Returns the key of a chat by its index.
fn chat_key(chat: u32) -> ChatKey {
    ChatKey(hash_pair(u64::from(chat), 3))
}
