use std::rc::Rc;

use ragwortroad_routing::{
    DemandDigest,
    LoadDigest,
    ShareDigest, //
};
use ragwortroad_types::{
    CacheEvent,
    ClockTime,
    LoadReport,
    NodeId, //
};

use crate::{
    PolicyKind,
    policy::baseline_view::hash_pair,
    run::{
        bench_event::BenchEvent,
        bench_node::BenchNode,
        bench_run::BenchRun,
        membership_update::MembershipUpdate, //
    },
    workload::disturbance_plan::DisturbanceEvent, //
};

/// Time without an announcement after which an endpoint or node is considered failed.
const FAILURE_TIMEOUT_MS: u64 = 3_000;
/// Time after which an engine whose home failed announces itself to its next home.
const HOME_FAILOVER_MS: u64 = 1_200;
/// Time after a change of home in which the previous home may still admit requests.
const HOME_OVERLAP_MS: u64 = 3_000;
/// Interval between an engine's announcements.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Age of an engine's reports, normally and under the `late_reports` disturbance.
const REPORT_LAG_MS: u64 = 100;
const LATE_REPORT_LAG_MS: u64 = 2_000;
/// Share of cache events that are lost, normally and under the `event_gaps` disturbance.
const CACHE_EVENT_LOSS: f64 = 0.01;
const DISTURBED_CACHE_EVENT_LOSS: f64 = 0.2;
/// Delay of membership updates to half of the nodes under the `differing_views` disturbance.
const LATE_UPDATE_MS: u64 = 5_000;

/// Messages between engines and nodes, and disturbances.
impl BenchRun<'_> {
    /// Sends an engine's announcement and schedules the next one.
    pub(crate) fn send_announcement(&mut self, engine: usize) {
        let disturbances = self.settings.disturbances;
        let number = engine as u32;
        let again = BenchEvent::AnnouncementDue { engine: number };
        self.queue.push(self.now + ANNOUNCE_INTERVAL_MS, again);
        if !self.engines[engine].alive {
            return;
        }
        let late = disturbances.late_reports;
        let lag = if late {
            LATE_REPORT_LAG_MS
        } else {
            REPORT_LAG_MS
        };
        let loss = if disturbances.event_gaps {
            DISTURBED_CACHE_EVENT_LOSS
        } else {
            CACHE_EVENT_LOSS
        };
        let (running, queued) = self.engines[engine].load();
        let mut events = self.engines[engine].cache.take_events();
        events.retain(|_| self.rng.unit() >= loss);
        let report = LoadReport {
            running,
            queued,
            age_ms: lag as u32,
        };
        let announced = BenchEvent::AnnouncementArrived {
            engine: number,
            report,
            events,
        };
        self.queue.push(self.now + lag, announced);
    }

    /// Handles an announcement that reaches the engine's home.
    pub(crate) fn handle_announcement(
        &mut self,
        engine: usize,
        report: LoadReport,
        events: &[CacheEvent],
    ) {
        let clock = self.clock();
        self.reported_loads[engine] = report.running + report.queued;
        let home = self.homes[engine];
        if self.nodes[home].alive && self.engines[engine].alive {
            let id = self.engine_ids[engine];
            let table = &mut self.nodes[home].table;
            table.observe_report(id, report, clock);
            table.observe_cache(id, events, clock);
        }
    }

    /// Sends the load digests of every home and schedules the next ones.
    pub(crate) fn send_digests(&mut self) {
        let next = self.now + self.spec.digest_interval_ms;
        self.queue.push(next, BenchEvent::DigestsDue);
        let clock = self.clock();
        let uses_homes = matches!(self.policy, PolicyKind::Homes(_));
        let digests = (0..self.spec.engines)
            .map(|engine| {
                let node = &self.nodes[self.homes[engine]];
                if !node.alive || !self.engines[engine].alive {
                    return None;
                }
                if uses_homes {
                    let digest = node.table.digest_of(self.engine_ids[engine], clock)?;
                    return Some(quantize_load(digest));
                }
                Some(quantize_load(LoadDigest {
                    load: self.reported_loads[engine],
                    ejected: false,
                }))
            })
            .collect();
        self.tally.control_bytes.add_digest_round(&self.spec);
        let digests = Rc::new(digests);
        let at = self.now + self.spec.propagation_ms;
        self.queue.push(at, BenchEvent::DigestsArrived { digests });
    }

    /// Handles load digests that reach all nodes.
    pub(crate) fn handle_digests(&mut self, digests: &[Option<LoadDigest>]) {
        let uses_homes = matches!(self.policy, PolicyKind::Homes(_));
        for node in self.nodes.iter_mut().filter(|node| node.alive) {
            for (engine, digest) in digests.iter().enumerate() {
                let Some(digest) = *digest else {
                    continue;
                };
                if uses_homes {
                    node.table.observe_digest(self.engine_ids[engine], digest);
                } else {
                    node.baseline_view.engines[engine].reported_load = digest.load;
                    node.baseline_view.engines[engine].sent_since_report = 0;
                }
            }
        }
    }

    /// Runs the upkeep of every node, which expires slots, and sends demand and share digests.
    pub(crate) fn run_upkeep(&mut self) {
        self.queue.push(self.now + 1000, BenchEvent::UpkeepDue);
        if !matches!(self.policy, PolicyKind::Homes(_)) {
            return;
        }
        let clock = self.clock();
        for node in 0..self.nodes.len() {
            if !self.nodes[node].alive {
                continue;
            }
            self.nodes[node].table.tick(clock);
            for (coordinator, digest) in self.nodes[node].limiter.demands(clock) {
                self.tally
                    .control_bytes
                    .add_limit_digest(digest.entries.len());
                let Some(coordinator) = self.node_index(coordinator) else {
                    continue;
                };
                let at = self.now + self.draw_delay(node, coordinator);
                let demand = BenchEvent::DemandArrived {
                    node: node as u32,
                    coordinator: coordinator as u32,
                    digest,
                };
                self.queue.push(at, demand);
            }
            for (other, digest) in self.nodes[node].limiter.shares(clock) {
                self.tally
                    .control_bytes
                    .add_limit_digest(digest.entries.len());
                let Some(other) = self.node_index(other) else {
                    continue;
                };
                let at = self.now + self.draw_delay(node, other);
                let node = other as u32;
                self.queue
                    .push(at, BenchEvent::ShareArrived { node, digest });
            }
        }
    }

    /// Handles a demand digest that reaches a coordinator.
    pub(crate) fn handle_demand(&mut self, node: usize, coordinator: usize, digest: &DemandDigest) {
        let (clock, from) = (self.clock(), self.node_ids[node]);
        for entry in &digest.entries {
            let number = self.customer_indexes.get(&entry.customer).copied();
            if let Some(customer) = number {
                let rate = self.customer_limits[customer];
                self.nodes[coordinator].declare_limit(customer, rate, clock);
            }
        }
        let limiter = &mut self.nodes[coordinator].limiter;
        limiter.merge_demand(from, digest, clock);
    }

    /// Handles a share digest that reaches a node.
    pub(crate) fn handle_share(&mut self, node: usize, digest: &ShareDigest) {
        let clock = self.clock();
        self.nodes[node].limiter.merge_share(digest, clock);
    }

    /// Applies a disturbance or the recovery from one.
    pub(crate) fn apply_disturbance(&mut self, change: DisturbanceEvent) {
        match change {
            DisturbanceEvent::EngineLeaves(engine) => {
                if self.engines[engine].alive {
                    self.engines[engine].leaving = true;
                    let model = self.engine_models[engine];
                    self.skew_trackers[model].leave(engine, self.now);
                    self.broadcast_engine(engine, ClockTime::ZERO);
                }
            }
            DisturbanceEvent::EngineStarts(engine) => {
                self.restart_engine(engine, true);
                let model = self.engine_models[engine];
                self.skew_trackers[model].join(engine, 0, self.now);
                if !self.nodes[self.homes[engine]].alive {
                    self.homes[engine] = self.next_home(engine);
                }
                self.broadcast_engine(engine, ClockTime::ZERO);
            }
            DisturbanceEvent::EngineCrashes(engine) => {
                self.restart_engine(engine, false);
                let model = self.engine_models[engine];
                self.skew_trackers[model].leave(engine, self.now);
                let update = MembershipUpdate::EngineDown {
                    engine: engine as u32,
                };
                self.broadcast_update(update, FAILURE_TIMEOUT_MS);
            }
            DisturbanceEvent::NodeStops(node) => self.stop_node(node),
            DisturbanceEvent::NodeStarts(node) => self.start_node(node),
        }
    }

    fn restart_engine(&mut self, engine: usize, alive: bool) {
        let lost = self.engines[engine].restart(self.spec.cache_blocks, alive);
        self.engine_loads[engine] = 0;
        for request in lost {
            self.schedule_attempt_end(request, engine, false);
        }
    }

    fn stop_node(&mut self, node: usize) {
        self.nodes[node].alive = false;
        let now = self.now;
        for live in &mut self.requests {
            if live.node == node && !live.finished {
                live.finished = true;
                self.tally.cut += 1;
            }
        }
        let stopped_node = node as u32;
        self.broadcast_update(
            MembershipUpdate::NodeDown { stopped_node },
            FAILURE_TIMEOUT_MS,
        );
        for engine in 0..self.spec.engines {
            if self.homes[engine] != node || !self.engines[engine].alive {
                continue;
            }
            self.homes[engine] = self.next_home(engine);
            let exclusive_from = ClockTime(now + HOME_FAILOVER_MS + HOME_OVERLAP_MS);
            let update = self.engine_update(engine, exclusive_from);
            self.broadcast_update(update, HOME_FAILOVER_MS);
        }
    }

    fn start_node(&mut self, node: usize) {
        let mut fresh =
            BenchNode::new(node, &self.node_ids, self.settings, &self.spec, self.policy);
        let alive = self.alive_nodes();
        fresh.known_nodes = alive.iter().map(|node| self.node_ids[*node]).collect();
        fresh.known_nodes.insert(self.node_ids[node]);
        fresh.apply_known_nodes(self.clock());
        for engine in 0..self.spec.engines {
            let fake = &self.engines[engine];
            fresh.baseline_view.engines[engine].available = fake.alive && !fake.leaving;
            if fake.alive {
                let facts = self.endpoint_facts(engine, self.homes[engine], fake.leaving);
                let exclusive_from = ClockTime(self.now + HOME_OVERLAP_MS);
                fresh.table.upsert_endpoint(facts, exclusive_from);
            }
        }
        self.nodes[node] = fresh;
        let restarted_node = node as u32;
        self.broadcast_update(MembershipUpdate::NodeUp { restarted_node }, 0);
    }

    /// Returns the live node that becomes the home of an engine whose home failed.
    fn next_home(&self, engine: usize) -> usize {
        let alive = self.alive_nodes();
        let best = alive
            .iter()
            .max_by_key(|node| hash_pair(engine as u64, **node as u64));
        best.copied().unwrap_or(0)
    }

    fn broadcast_engine(&mut self, engine: usize, exclusive_from: ClockTime) {
        let update = self.engine_update(engine, exclusive_from);
        self.broadcast_update(update, 0);
    }

    fn engine_update(&self, engine: usize, exclusive_from: ClockTime) -> MembershipUpdate {
        MembershipUpdate::EngineUp {
            engine: engine as u32,
            home: self.homes[engine] as u32,
            leaving: self.engines[engine].leaving,
            exclusive_from,
        }
    }

    /// Sends an update to every node after `after_ms` and the time that gossip takes; an engine's
    /// home receives it from the engine directly.
    fn broadcast_update(&mut self, update: MembershipUpdate, after_ms: u64) {
        let notified_directly = match update {
            MembershipUpdate::EngineUp { home, .. } => Some(home as usize),
            _ => None,
        };
        for node in 0..self.nodes.len() {
            let mut delay = 1 + self.rng.below(2 * self.spec.propagation_ms + 200);
            if self.settings.disturbances.differing_views && node % 2 == 1 {
                delay = LATE_UPDATE_MS;
            }
            if notified_directly == Some(node) {
                delay = 1;
            }
            let at = self.now + after_ms + delay;
            let node = node as u32;
            self.queue
                .push(at, BenchEvent::UpdateArrived { node, update });
        }
    }

    /// Handles a membership update that reaches a node.
    pub(crate) fn handle_update(&mut self, node: usize, update: MembershipUpdate) {
        let clock = self.clock();
        match update {
            MembershipUpdate::EngineUp {
                engine,
                home,
                leaving,
                exclusive_from,
            } => {
                let engine = engine as usize;
                let facts = self.endpoint_facts(engine, home as usize, leaving);
                let node = &mut self.nodes[node];
                node.baseline_view.engines[engine].available = !leaving;
                // A restarted process does not have the slots of its predecessor.
                if !leaving && exclusive_from == ClockTime::ZERO {
                    node.table.remove_endpoint(facts.id);
                }
                node.table.upsert_endpoint(facts, exclusive_from);
            }
            MembershipUpdate::EngineDown { engine } => {
                // An engine that runs again announces itself; a late update about its failure is
                // ignored.
                let engine = engine as usize;
                if !self.engines[engine].alive {
                    let node = &mut self.nodes[node];
                    node.baseline_view.engines[engine].available = false;
                    node.table.remove_endpoint(self.engine_ids[engine]);
                }
            }
            MembershipUpdate::NodeDown { stopped_node } => {
                let id = self.node_ids[stopped_node as usize];
                if !self.nodes[stopped_node as usize].alive {
                    self.remove_node(node, id);
                }
            }
            MembershipUpdate::NodeUp { restarted_node } => {
                let id = self.node_ids[restarted_node as usize];
                // The slots that the node held before its restart are lost.
                self.nodes[node].table.expire_node_slots(id, clock);
                self.nodes[node].known_nodes.insert(id);
                self.nodes[node].apply_known_nodes(clock);
            }
        }
    }

    fn remove_node(&mut self, node: usize, removed: NodeId) {
        let clock = self.clock();
        let node = &mut self.nodes[node];
        node.known_nodes.remove(&removed);
        node.apply_known_nodes(clock);
        node.table.expire_node_slots(removed, clock);
    }
}

/// Rounds a load as its encoding in a digest does: loads below 32 are exact, others are rounded
/// down to five significant bits.
fn quantize_load(digest: LoadDigest) -> LoadDigest {
    const EXACT_BITS: u32 = 5;
    let dropped_bits = (u32::BITS - digest.load.leading_zeros()).saturating_sub(EXACT_BITS);
    let load = digest.load >> dropped_bits << dropped_bits;
    LoadDigest { load, ..digest }
}
