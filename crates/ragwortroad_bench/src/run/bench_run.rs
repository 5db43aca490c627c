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
        bench_draw::BenchDraw,
        disturbance_plan::DisturbancePlan, //
    }, //
};

/// One policy over one plan of arrivals and disturbances.
pub(crate) struct BenchRun<'plan> {
    pub(crate) settings: &'plan BenchSettings,
    pub(crate) spec: WorkloadSpec,
    pub(crate) policy: PolicyKind,
    pub(crate) plan: &'plan ArrivalPlan,
    pub(crate) changes: &'plan DisturbancePlan,
    pub(crate) now: u64,
    pub(crate) queue: EventQueue,
    pub(crate) draw: BenchDraw,
    pub(crate) nodes: Vec<BenchNode>,
    pub(crate) node_ids: Vec<NodeId>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) engine_ids: Vec<EndpointId>,
    /// The model each engine serves, and the engines of each model.
    pub(crate) engine_models: Vec<usize>,
    pub(crate) pools: Vec<Vec<usize>>,
    /// The node each engine announces itself to.
    pub(crate) homes: Vec<usize>,
    /// Requests at each engine, and on their way to it.
    pub(crate) loads: Vec<u32>,
    pub(crate) on_way: Vec<u32>,
    /// The load each engine reported last.
    pub(crate) reported: Vec<u32>,
    pub(crate) trackers: Vec<SkewTracker>,
    pub(crate) next_arrival: usize,
    pub(crate) requests: Vec<LiveRequest>,
    /// Where each chat was last, as its caller and as the bench knows it.
    pub(crate) hints: Vec<Option<usize>>,
    pub(crate) places: Vec<Option<usize>>,
    pub(crate) limits: Vec<f64>,
    pub(crate) customers: BTreeMap<CustomerKey, usize>,
    pub(crate) tally: RunTally,
}

impl<'plan> BenchRun<'plan> {
    /// A run that has not begun.
    pub(crate) fn new(
        settings: &'plan BenchSettings,
        spec: WorkloadSpec,
        policy: PolicyKind,
        plan: &'plan ArrivalPlan,
        changes: &'plan DisturbancePlan,
    ) -> Self {
        let node_ids: Vec<NodeId> = (0..spec.nodes)
            .map(|index| NodeId::from_name(&format!("node-{index}")))
            .collect();
        let nodes = (0..spec.nodes)
            .map(|index| BenchNode::new(index, &node_ids, settings, &spec, policy))
            .collect();
        let weights = customer_weights(&spec);
        let engine_models = models_of_engines(&spec, plan, &weights);
        let mut pools = vec![Vec::new(); spec.models];
        for (engine, model) in engine_models.iter().enumerate() {
            pools[*model].push(engine);
        }
        let sum: f64 = weights.iter().sum();
        // A customer may use three times its usual rate.
        let limits = weights
            .iter()
            .map(|weight| 3.0 * spec.rate * weight / sum + 2.0)
            .collect();
        let warm_ms = settings.warm_seconds * 1000;
        Self {
            settings,
            spec,
            policy,
            plan,
            changes,
            now: 0,
            queue: EventQueue::default(),
            draw: BenchDraw::new(settings.seed, 0xde1a),
            nodes,
            node_ids,
            engines: vec![FakeEngine::new(spec.capacity, spec.cache_blocks); spec.engines],
            engine_ids: (0..spec.engines)
                .map(|index| EndpointId::from_name(&format!("engine-{index}")))
                .collect(),
            engine_models,
            pools,
            homes: (0..spec.engines)
                .map(|engine| engine % spec.nodes)
                .collect(),
            loads: vec![0; spec.engines],
            on_way: vec![0; spec.engines],
            reported: vec![0; spec.engines],
            trackers: vec![SkewTracker::new(warm_ms); spec.models],
            next_arrival: 0,
            requests: Vec::new(),
            hints: vec![None; plan.chats],
            places: vec![None; plan.chats],
            limits,
            customers: (0..spec.customers)
                .map(|customer| (customer_key(customer), customer))
                .collect(),
            tally: RunTally::new(),
        }
    }

    /// Runs to the end of the plan.
    pub(crate) fn run(mut self) -> Self {
        self.begin();
        let warm_ms = self.settings.warm_seconds * 1000;
        let end_ms = warm_ms + self.settings.seconds * 1000;
        let mut warm = true;
        while let Some((at, event)) = self.queue.pop() {
            if at >= end_ms {
                break;
            }
            if warm && at >= warm_ms {
                warm = false;
                self.tally = RunTally::new();
            }
            self.now = at;
            self.handle(event);
        }
        for tracker in &mut self.trackers {
            tracker.advance(end_ms);
        }
        self
    }

    fn begin(&mut self) {
        for engine in 0..self.spec.engines {
            let model = self.engine_models[engine];
            self.trackers[model].join(engine, 0, 0);
            let facts = self.facts_of(engine, self.homes[engine], false);
            for node in &mut self.nodes {
                node.table.upsert_endpoint(facts.clone(), ClockTime::ZERO);
            }
            let offset = hash_pair(engine as u64, 1) % 1000;
            let engine = engine as u32;
            self.queue.push(offset, BenchEvent::Announce { engine });
        }
        for (index, (at, _)) in self.changes.changes.iter().enumerate() {
            self.queue.push(*at, BenchEvent::Change(index));
        }
        self.queue.push(self.spec.digest_ms, BenchEvent::Digest);
        self.queue.push(1000, BenchEvent::Second);
        self.push_arrival();
    }

    fn handle(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::Arrive => self.arrive(),
            BenchEvent::Look { request } => self.place(request),
            BenchEvent::Ask { request, home } => self.ask_reached(request, home as usize),
            BenchEvent::Answer { request, answer } => self.answer_reached(request, answer),
            BenchEvent::Reach { request, engine } => self.engine_reached(request, engine as usize),
            BenchEvent::Step {
                engine,
                incarnation,
            } => self.step_ended(engine as usize, incarnation),
            BenchEvent::Ended { request, whole } => self.attempt_ended(request, whole),
            BenchEvent::Release {
                home,
                engine,
                slot,
                outcome,
            } => self.release_reached(home as usize, engine as usize, slot, outcome),
            BenchEvent::Announce { engine } => self.announce(engine as usize),
            BenchEvent::Announced {
                engine,
                report,
                events,
            } => self.announced(engine as usize, report, &events),
            BenchEvent::Digest => self.make_digests(),
            BenchEvent::Digested { digests } => self.take_digests(&digests),
            BenchEvent::Second => self.each_second(),
            BenchEvent::Demand {
                node,
                keeper,
                digest,
            } => self.demand_reached(node as usize, keeper as usize, &digest),
            BenchEvent::Share { node, digest } => self.share_reached(node as usize, &digest),
            BenchEvent::Learn { node, news } => self.learn(node as usize, news),
            BenchEvent::Change(index) => self.change(self.changes.changes[index].1),
        }
    }

    /// The time as the decision code sees it.
    pub(crate) fn clock(&self) -> ClockTime {
        ClockTime(self.now)
    }

    /// Queues the next request of the plan.
    pub(crate) fn push_arrival(&mut self) {
        if let Some(arrival) = self.plan.arrivals.get(self.next_arrival) {
            self.queue.push(arrival.at_ms, BenchEvent::Arrive);
        }
    }

    /// The prompt of an arrival: shared text, the chat so far, and a new block.
    pub(crate) fn chain_of(&self, arrival: usize) -> Vec<PrefixKey> {
        self.chain_to(arrival, 1)
    }

    /// The shared text, the chat so far, and `more` blocks.
    pub(crate) fn chain_to(&self, arrival: usize, more: u32) -> Vec<PrefixKey> {
        const PLAN_SEED: u64 = 1 << 40;
        const CHAT_SEED: u64 = 1 << 41;
        let arrival = &self.plan.arrivals[arrival];
        let plan = PLAN_SEED + u64::from(arrival.plan);
        let chat = CHAT_SEED + u64::from(arrival.chat);
        let shared = (0..self.spec.plan_blocks).map(|block| (plan, block));
        let own = (0..arrival.context_blocks + more).map(|block| (chat, block));
        shared
            .chain(own)
            .map(|(seed, block)| PrefixKey(hash_pair(u64::from(block), seed)))
            .collect()
    }

    /// The model an arrival is for.
    pub(crate) fn model_of(&self, arrival: usize) -> usize {
        self.plan.models[self.plan.arrivals[arrival].customer as usize]
    }

    /// What membership says of an engine.
    pub(crate) fn facts_of(&self, engine: usize, home: usize, leaving: bool) -> EndpointFacts {
        let model = self.engine_models[engine];
        let name = format!("model-{model}");
        EndpointFacts {
            id: self.engine_ids[engine],
            kind: EndpointKind::Engine,
            fleet: FleetKey::from_name(&name),
            zone: ZoneKey((engine % self.spec.zones) as u64),
            capacity: self.spec.capacity,
            offers: vec![offer_of(model)],
            home: self.node_ids[home],
            leaving,
            drained: false,
        }
    }

    /// Milliseconds of a message between two zones, drawn.
    pub(crate) fn delay(&mut self, from: usize, to: usize) -> u64 {
        if from % self.spec.zones == to % self.spec.zones {
            return 1;
        }
        2 + self.draw.below(4)
    }

    /// Nodes that are alive.
    pub(crate) fn alive_nodes(&self) -> BTreeSet<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].alive)
            .collect()
    }

    /// The number of a node by identity.
    pub(crate) fn node_index(&self, id: NodeId) -> Option<usize> {
        self.node_ids.iter().position(|node| *node == id)
    }
}

/// The key of a model by its number.
pub(crate) fn offer_of(model: usize) -> OfferKey {
    OfferKey::model(&format!("model-{model}"), "v1", None)
}

/// Gives each model engines in proportion to its customers' sizes.
fn models_of_engines(spec: &WorkloadSpec, plan: &ArrivalPlan, weights: &[f64]) -> Vec<usize> {
    let mut demand = vec![0.0; spec.models];
    for (customer, weight) in weights.iter().enumerate() {
        demand[plan.models[customer]] += weight;
    }
    let sum: f64 = demand.iter().sum();
    let mut given = vec![0.0; spec.models];
    (0..spec.engines)
        .map(|_| {
            let most_lacking = (0..spec.models).max_by(|left, right| {
                let lack = |model: usize| demand[model] / sum / (given[model] + 1.0);
                lack(*left).total_cmp(&lack(*right))
            });
            let model = most_lacking.unwrap_or(0);
            given[model] += 1.0;
            model
        })
        .collect()
}
