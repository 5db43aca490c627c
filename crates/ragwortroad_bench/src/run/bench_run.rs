use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_routing::{
    CustomerKey,
    EndpointFacts,
    FleetKey,
    OfferKey,
    ZoneKey, //
};
use ragwortroad_types::{
    ClockTime,
    EndpointId,
    EndpointKind,
    NodeId,
    PrefixKey, //
};

use crate::{
    BenchSettings,
    PolicyKind,
    WorkloadSpec,
    fake::fake_engine::FakeEngine,
    policy::baseline_view::hash_pair,
    run::{
        bench_event::BenchEvent,
        bench_node::{
            BenchNode,
            customer_key, //
        },
        event_queue::EventQueue,
        live_request::LiveRequest,
        run_tally::RunTally,
        skew_tracker::SkewTracker, //
    },
    workload::{
        arrival_plan::{
            ArrivalPlan,
            customer_weights, //
        },
        bench_rng::BenchRng,
        disturbance_plan::DisturbancePlan, //
    }, //
};

/// A run of one policy over an arrival plan and a disturbance plan.
pub(crate) struct BenchRun<'plan> {
    pub(crate) settings: &'plan BenchSettings,
    pub(crate) spec: WorkloadSpec,
    pub(crate) policy: PolicyKind,
    pub(crate) arrival_plan: &'plan ArrivalPlan,
    pub(crate) disturbance_plan: &'plan DisturbancePlan,
    pub(crate) now: u64,
    pub(crate) queue: EventQueue,
    pub(crate) rng: BenchRng,
    pub(crate) nodes: Vec<BenchNode>,
    pub(crate) node_ids: Vec<NodeId>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) engine_ids: Vec<EndpointId>,
    /// The model that each engine serves, and the engines that serve each model.
    pub(crate) engine_models: Vec<usize>,
    pub(crate) model_engines: Vec<Vec<usize>>,
    /// The node to which each engine announces itself.
    pub(crate) homes: Vec<usize>,
    /// Requests on each engine, and requests sent to it that have not arrived.
    pub(crate) engine_loads: Vec<u32>,
    pub(crate) in_transit: Vec<u32>,
    /// The load that each engine reported last.
    pub(crate) reported_loads: Vec<u32>,
    pub(crate) skew_trackers: Vec<SkewTracker>,
    pub(crate) next_arrival: usize,
    pub(crate) requests: Vec<LiveRequest>,
    /// The last engine of each chat: by the hint that its client received, and by its last first
    /// token.
    pub(crate) chat_hints: Vec<Option<usize>>,
    pub(crate) chat_engines: Vec<Option<usize>>,
    pub(crate) customer_limits: Vec<f64>,
    pub(crate) customer_indexes: BTreeMap<CustomerKey, usize>,
    pub(crate) tally: RunTally,
}

impl<'plan> BenchRun<'plan> {
    /// Creates a run at time 0.
    pub(crate) fn new(
        settings: &'plan BenchSettings,
        spec: WorkloadSpec,
        policy: PolicyKind,
        arrival_plan: &'plan ArrivalPlan,
        disturbance_plan: &'plan DisturbancePlan,
    ) -> Self {
        let node_ids: Vec<NodeId> = (0..spec.nodes)
            .map(|index| NodeId::from_name(&format!("node-{index}")))
            .collect();
        let nodes = (0..spec.nodes)
            .map(|index| BenchNode::new(index, &node_ids, settings, &spec, policy))
            .collect();
        let weights = customer_weights(&spec);
        let engine_models = assign_models(&spec, arrival_plan, &weights);
        let mut model_engines = vec![Vec::new(); spec.models];
        for (engine, model) in engine_models.iter().enumerate() {
            model_engines[*model].push(engine);
        }
        let sum: f64 = weights.iter().sum();
        // A customer may use three times its usual rate.
        let customer_limits = weights
            .iter()
            .map(|weight| 3.0 * spec.requests_per_s * weight / sum + 2.0)
            .collect();
        let warm_ms = settings.warm_seconds * 1000;
        Self {
            settings,
            spec,
            policy,
            arrival_plan,
            disturbance_plan,
            now: 0,
            queue: EventQueue::default(),
            rng: BenchRng::new(settings.seed, 0xde1a),
            nodes,
            node_ids,
            engines: vec![FakeEngine::new(spec.engine_capacity, spec.cache_blocks); spec.engines],
            engine_ids: (0..spec.engines)
                .map(|index| EndpointId::from_name(&format!("engine-{index}")))
                .collect(),
            engine_models,
            model_engines,
            homes: (0..spec.engines)
                .map(|engine| engine % spec.nodes)
                .collect(),
            engine_loads: vec![0; spec.engines],
            in_transit: vec![0; spec.engines],
            reported_loads: vec![0; spec.engines],
            skew_trackers: vec![SkewTracker::new(warm_ms); spec.models],
            next_arrival: 0,
            requests: Vec::new(),
            chat_hints: vec![None; arrival_plan.chat_count],
            chat_engines: vec![None; arrival_plan.chat_count],
            customer_limits,
            customer_indexes: (0..spec.customers)
                .map(|customer| (customer_key(customer), customer))
                .collect(),
            tally: RunTally::new(),
        }
    }

    /// Runs to the end of the measurement; counts from before it are discarded.
    pub(crate) fn run(mut self) -> Self {
        self.schedule_initial_events();
        let warm_ms = self.settings.warm_seconds * 1000;
        let end_ms = warm_ms + self.settings.seconds * 1000;
        let mut warming_up = true;
        while let Some((at, event)) = self.queue.pop() {
            if at >= end_ms {
                break;
            }
            if warming_up && at >= warm_ms {
                warming_up = false;
                self.tally = RunTally::new();
            }
            self.now = at;
            self.handle_event(event);
        }
        for tracker in &mut self.skew_trackers {
            tracker.advance(end_ms);
        }
        self
    }

    fn schedule_initial_events(&mut self) {
        for engine in 0..self.spec.engines {
            let model = self.engine_models[engine];
            self.skew_trackers[model].join(engine, 0, 0);
            let facts = self.endpoint_facts(engine, self.homes[engine], false);
            for node in &mut self.nodes {
                node.table.upsert_endpoint(facts.clone(), ClockTime::ZERO);
            }
            let offset = hash_pair(engine as u64, 1) % 1000;
            let engine = engine as u32;
            self.queue
                .push(offset, BenchEvent::AnnouncementDue { engine });
        }
        for (index, (at, _)) in self.disturbance_plan.events.iter().enumerate() {
            self.queue.push(*at, BenchEvent::Disturbance(index));
        }
        self.queue
            .push(self.spec.digest_interval_ms, BenchEvent::DigestsDue);
        self.queue.push(1000, BenchEvent::UpkeepDue);
        self.schedule_next_arrival();
    }

    fn handle_event(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::RequestArrived => self.handle_arrival(),
            BenchEvent::PlacementRetry { request } => self.place_request(request),
            BenchEvent::SlotRequested { request, home } => {
                self.handle_slot_request(request, home as usize)
            }
            BenchEvent::SlotAnswered { request, answer } => {
                self.handle_slot_answer(request, answer)
            }
            BenchEvent::EngineReached { request, engine } => {
                self.handle_engine_arrival(request, engine as usize)
            }
            BenchEvent::StepEnded {
                engine,
                incarnation,
            } => self.handle_step_end(engine as usize, incarnation),
            BenchEvent::AttemptEnded { request, succeeded } => {
                self.handle_attempt_end(request, succeeded)
            }
            BenchEvent::SlotReleased {
                home,
                engine,
                slot,
                outcome,
            } => self.handle_release(home as usize, engine as usize, slot, outcome),
            BenchEvent::AnnouncementDue { engine } => self.send_announcement(engine as usize),
            BenchEvent::AnnouncementArrived {
                engine,
                report,
                events,
            } => self.handle_announcement(engine as usize, report, &events),
            BenchEvent::DigestsDue => self.send_digests(),
            BenchEvent::DigestsArrived { digests } => self.handle_digests(&digests),
            BenchEvent::UpkeepDue => self.run_upkeep(),
            BenchEvent::DemandArrived {
                node,
                coordinator,
                digest,
            } => self.handle_demand(node as usize, coordinator as usize, &digest),
            BenchEvent::ShareArrived { node, digest } => self.handle_share(node as usize, &digest),
            BenchEvent::UpdateArrived { node, update } => self.handle_update(node as usize, update),
            BenchEvent::Disturbance(index) => {
                self.apply_disturbance(self.disturbance_plan.events[index].1)
            }
        }
    }

    /// Returns the time as the decision code sees it.
    pub(crate) fn clock(&self) -> ClockTime {
        ClockTime(self.now)
    }

    /// Queues the arrival of the next request.
    pub(crate) fn schedule_next_arrival(&mut self) {
        if let Some(arrival) = self.arrival_plan.arrivals.get(self.next_arrival) {
            self.queue.push(arrival.at_ms, BenchEvent::RequestArrived);
        }
    }

    /// Returns the blocks of a prompt: the shared prefix, the earlier turns, and one new block.
    pub(crate) fn prompt_chain(&self, arrival: usize) -> Vec<PrefixKey> {
        self.extended_chain(arrival, 1)
    }

    /// Returns the shared prefix, the earlier turns, and `new_blocks` further blocks.
    pub(crate) fn extended_chain(&self, arrival: usize, new_blocks: u32) -> Vec<PrefixKey> {
        const PREFIX_SEED: u64 = 1 << 40;
        const CHAT_SEED: u64 = 1 << 41;
        let arrival = &self.arrival_plan.arrivals[arrival];
        let prefix_seed = PREFIX_SEED + u64::from(arrival.shared_prefix);
        let chat_seed = CHAT_SEED + u64::from(arrival.chat);
        let shared = (0..self.spec.shared_prefix_blocks).map(|block| (prefix_seed, block));
        let own = (0..arrival.context_blocks + new_blocks).map(|block| (chat_seed, block));
        shared
            .chain(own)
            .map(|(seed, block)| PrefixKey(hash_pair(u64::from(block), seed)))
            .collect()
    }

    /// Returns the model that an arrival requests.
    pub(crate) fn arrival_model(&self, arrival: usize) -> usize {
        self.arrival_plan.customer_models[self.arrival_plan.arrivals[arrival].customer as usize]
    }

    /// Returns the facts about an engine that membership distributes.
    pub(crate) fn endpoint_facts(
        &self,
        engine: usize,
        home: usize,
        leaving: bool,
    ) -> EndpointFacts {
        let model = self.engine_models[engine];
        let name = format!("model-{model}");
        EndpointFacts {
            id: self.engine_ids[engine],
            kind: EndpointKind::Engine,
            fleet: FleetKey::from_name(&name),
            zone: ZoneKey((engine % self.spec.zones) as u64),
            capacity: self.spec.engine_capacity,
            offers: vec![model_offer(model)],
            home: self.node_ids[home],
            leaving,
            drained: false,
        }
    }

    /// Draws the delay of a message in milliseconds: constant within a zone, random between zones.
    pub(crate) fn draw_delay(&mut self, from: usize, to: usize) -> u64 {
        if from % self.spec.zones == to % self.spec.zones {
            return 1;
        }
        2 + self.rng.below(4)
    }

    /// Returns the indexes of the nodes that are alive.
    pub(crate) fn alive_nodes(&self) -> BTreeSet<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].alive)
            .collect()
    }

    /// Returns the index of the node with this id.
    pub(crate) fn node_index(&self, id: NodeId) -> Option<usize> {
        self.node_ids.iter().position(|node| *node == id)
    }
}

/// Returns the offer key of a model by its index.
pub(crate) fn model_offer(model: usize) -> OfferKey {
    OfferKey::model(&format!("model-{model}"), "v1", None)
}

/// Assigns a model to each engine, in proportion to the demand of the model's customers.
fn assign_models(spec: &WorkloadSpec, plan: &ArrivalPlan, weights: &[f64]) -> Vec<usize> {
    let mut demand = vec![0.0; spec.models];
    for (customer, weight) in weights.iter().enumerate() {
        demand[plan.customer_models[customer]] += weight;
    }
    let sum: f64 = demand.iter().sum();
    let mut assigned = vec![0.0; spec.models];
    (0..spec.engines)
        .map(|_| {
            let neediest = (0..spec.models).max_by(|left, right| {
                let unmet_demand = |model: usize| demand[model] / sum / (assigned[model] + 1.0);
                unmet_demand(*left).total_cmp(&unmet_demand(*right))
            });
            let model = neediest.unwrap_or(0);
            assigned[model] += 1.0;
            model
        })
        .collect()
}
