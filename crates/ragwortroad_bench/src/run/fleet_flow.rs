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
        node_news::NodeNews, //
    },
    workload::disturbance_plan::BenchChange, //
};

/// Milliseconds without an announcement after which an endpoint or node counts as gone.
const SILENT_MS: u64 = 3_000;
/// Milliseconds after which an engine whose home is gone announces itself to the next.
const NEXT_HOME_MS: u64 = 1_200;
/// Milliseconds for which an earlier home may still admit work after a change of home.
const OVERLAP_MS: u64 = 3_000;
/// Milliseconds between an engine's announcements.
const ANNOUNCE_MS: u64 = 1_000;
/// Age of what an engine reports, usually and under the disturbance.
const USUAL_LAG_MS: u64 = 100;
const LATE_LAG_MS: u64 = 2_000;
/// Cache events lost, usually and under the disturbance.
const USUAL_LOSS: f64 = 0.01;
const GAP_LOSS: f64 = 0.2;
/// How late half of the nodes learn under the disturbance.
const DIFFERING_MS: u64 = 5_000;

/// What engines and nodes tell each other, and what goes wrong.
impl BenchRun<'_> {
    /// An engine announces itself.
    pub(crate) fn announce(&mut self, engine: usize) {
        let disturbances = self.settings.disturbances;
        let number = engine as u32;
        let again = BenchEvent::Announce { engine: number };
        self.queue.push(self.now + ANNOUNCE_MS, again);
        if !self.engines[engine].alive {
            return;
        }
        let late = disturbances.late_reports;
        let lag = if late { LATE_LAG_MS } else { USUAL_LAG_MS };
        let loss = if disturbances.event_gaps {
            GAP_LOSS
        } else {
            USUAL_LOSS
        };
        let (running, queued) = self.engines[engine].load();
        let mut events = self.engines[engine].cache.take_events();
        events.retain(|_| self.draw.unit() >= loss);
        let report = LoadReport {
            running,
            queued,
            age_ms: lag as u32,
        };
        let announced = BenchEvent::Announced {
            engine: number,
            report,
            events,
        };
        self.queue.push(self.now + lag, announced);
    }

    /// An announcement reaches the engine's home.
    pub(crate) fn announced(&mut self, engine: usize, report: LoadReport, events: &[CacheEvent]) {
        let clock = self.clock();
        self.reported[engine] = report.running + report.queued;
        let home = self.homes[engine];
        if self.nodes[home].alive && self.engines[engine].alive {
            let id = self.engine_ids[engine];
            let table = &mut self.nodes[home].table;
            table.observe_report(id, report, clock);
            table.observe_cache(id, events, clock);
        }
    }

    /// Every home tells of its engines.
    pub(crate) fn make_digests(&mut self) {
        let next = self.now + self.spec.digest_ms;
        self.queue.push(next, BenchEvent::Digest);
        let clock = self.clock();
        let homes = matches!(self.policy, PolicyKind::Homes(_));
        let digests = (0..self.spec.engines)
            .map(|engine| {
                let node = &self.nodes[self.homes[engine]];
                if !node.alive || !self.engines[engine].alive {
                    return None;
                }
                if homes {
                    let digest = node.table.digest_of(self.engine_ids[engine], clock)?;
                    return Some(quantised(digest));
                }
                Some(quantised(LoadDigest {
                    load: self.reported[engine],
                    ejected: false,
                }))
            })
            .collect();
        self.tally.bytes.round(&self.spec);
        let digests = Rc::new(digests);
        let at = self.now + self.spec.spread_ms;
        self.queue.push(at, BenchEvent::Digested { digests });
    }

    /// Digests reach all nodes.
    pub(crate) fn take_digests(&mut self, digests: &[Option<LoadDigest>]) {
        let homes = matches!(self.policy, PolicyKind::Homes(_));
        for node in self.nodes.iter_mut().filter(|node| node.alive) {
            for (engine, digest) in digests.iter().enumerate() {
                let Some(digest) = *digest else {
                    continue;
                };
                if homes {
                    node.table.observe_digest(self.engine_ids[engine], digest);
                } else {
                    node.view.engines[engine].load = digest.load;
                    node.view.engines[engine].sent = 0;
                }
            }
        }
    }

    /// Nodes sweep their slots and tell keepers what was wanted.
    pub(crate) fn each_second(&mut self) {
        self.queue.push(self.now + 1000, BenchEvent::Second);
        if !matches!(self.policy, PolicyKind::Homes(_)) {
            return;
        }
        let clock = self.clock();
        for node in 0..self.nodes.len() {
            if !self.nodes[node].alive {
                continue;
            }
            self.nodes[node].table.tick(clock);
            for (keeper, digest) in self.nodes[node].limiter.demands(clock) {
                self.tally.bytes.limit(digest.entries.len());
                let Some(keeper) = self.node_index(keeper) else {
                    continue;
                };
                let at = self.now + self.delay(node, keeper);
                let demand = BenchEvent::Demand {
                    node: node as u32,
                    keeper: keeper as u32,
                    digest,
                };
                self.queue.push(at, demand);
            }
            for (other, digest) in self.nodes[node].limiter.shares(clock) {
                self.tally.bytes.limit(digest.entries.len());
                let Some(other) = self.node_index(other) else {
                    continue;
                };
                let at = self.now + self.delay(node, other);
                let node = other as u32;
                self.queue.push(at, BenchEvent::Share { node, digest });
            }
        }
    }

    /// Demand reaches a keeper.
    pub(crate) fn demand_reached(&mut self, node: usize, keeper: usize, digest: &DemandDigest) {
        let (clock, from) = (self.clock(), self.node_ids[node]);
        for entry in &digest.entries {
            let number = self.customers.get(&entry.customer).copied();
            if let Some(customer) = number {
                let rate = self.limits[customer];
                self.nodes[keeper].declare(customer, rate, clock);
            }
        }
        let limiter = &mut self.nodes[keeper].limiter;
        limiter.merge_demand(from, digest, clock);
    }

    /// Shares reach a node.
    pub(crate) fn share_reached(&mut self, node: usize, digest: &ShareDigest) {
        let clock = self.clock();
        self.nodes[node].limiter.merge_share(digest, clock);
    }

    /// Something goes wrong, or right again.
    pub(crate) fn change(&mut self, change: BenchChange) {
        match change {
            BenchChange::EngineLeaves(engine) => {
                if self.engines[engine].alive {
                    self.engines[engine].leaving = true;
                    let model = self.engine_models[engine];
                    self.trackers[model].leave(engine, self.now);
                    self.tell_of_engine(engine, ClockTime::ZERO);
                }
            }
            BenchChange::EngineStarts(engine) => {
                self.restart_engine(engine, true);
                let model = self.engine_models[engine];
                self.trackers[model].join(engine, 0, self.now);
                if !self.nodes[self.homes[engine]].alive {
                    self.homes[engine] = self.next_home(engine);
                }
                self.tell_of_engine(engine, ClockTime::ZERO);
            }
            BenchChange::EngineCrashes(engine) => {
                self.restart_engine(engine, false);
                let model = self.engine_models[engine];
                self.trackers[model].leave(engine, self.now);
                let news = NodeNews::Absent {
                    engine: engine as u32,
                };
                self.spread(news, SILENT_MS);
            }
            BenchChange::NodeStops(node) => self.stop_node(node),
            BenchChange::NodeStarts(node) => self.start_node(node),
        }
    }

    fn restart_engine(&mut self, engine: usize, alive: bool) {
        let lost = self.engines[engine].restart(self.spec.cache_blocks, alive);
        self.loads[engine] = 0;
        for request in lost {
            self.push_ended(request, engine, false);
        }
    }

    fn stop_node(&mut self, node: usize) {
        self.nodes[node].alive = false;
        let now = self.now;
        for live in &mut self.requests {
            if live.node == node && !live.over {
                live.over = true;
                self.tally.cut += 1;
            }
        }
        let gone = node as u32;
        self.spread(NodeNews::NodeGone { gone }, SILENT_MS);
        for engine in 0..self.spec.engines {
            if self.homes[engine] != node || !self.engines[engine].alive {
                continue;
            }
            self.homes[engine] = self.next_home(engine);
            let exclusive_from = ClockTime(now + NEXT_HOME_MS + OVERLAP_MS);
            let news = self.presence(engine, exclusive_from);
            self.spread(news, NEXT_HOME_MS);
        }
    }

    fn start_node(&mut self, node: usize) {
        let mut fresh =
            BenchNode::new(node, &self.node_ids, self.settings, &self.spec, self.policy);
        let alive = self.alive_nodes();
        fresh.nodes = alive.iter().map(|node| self.node_ids[*node]).collect();
        fresh.nodes.insert(self.node_ids[node]);
        fresh.apply_nodes(self.clock());
        for engine in 0..self.spec.engines {
            let fake = &self.engines[engine];
            fresh.view.engines[engine].open = fake.alive && !fake.leaving;
            if fake.alive {
                let facts = self.facts_of(engine, self.homes[engine], fake.leaving);
                let wait = ClockTime(self.now + OVERLAP_MS);
                fresh.table.upsert_endpoint(facts, wait);
            }
        }
        self.nodes[node] = fresh;
        let back = node as u32;
        self.spread(NodeNews::NodeBack { back }, 0);
    }

    /// The living node that comes next for an engine whose home is gone.
    fn next_home(&self, engine: usize) -> usize {
        let alive = self.alive_nodes();
        let best = alive
            .iter()
            .max_by_key(|node| hash_pair(engine as u64, **node as u64));
        best.copied().unwrap_or(0)
    }

    fn tell_of_engine(&mut self, engine: usize, exclusive_from: ClockTime) {
        let news = self.presence(engine, exclusive_from);
        self.spread(news, 0);
    }

    fn presence(&self, engine: usize, exclusive_from: ClockTime) -> NodeNews {
        NodeNews::Present {
            engine: engine as u32,
            home: self.homes[engine] as u32,
            leaving: self.engines[engine].leaving,
            exclusive_from,
        }
    }

    /// Lets every node learn of something after `wait` and the time gossip takes; the home of an
    /// engine hears from it directly.
    fn spread(&mut self, news: NodeNews, wait: u64) {
        let heard_by = match news {
            NodeNews::Present { home, .. } => Some(home as usize),
            _ => None,
        };
        for node in 0..self.nodes.len() {
            let mut takes = 1 + self.draw.below(2 * self.spec.spread_ms + 200);
            if self.settings.disturbances.differing_views && node % 2 == 1 {
                takes = DIFFERING_MS;
            }
            if heard_by == Some(node) {
                takes = 1;
            }
            let at = self.now + wait + takes;
            let node = node as u32;
            self.queue.push(at, BenchEvent::Learn { node, news });
        }
    }

    /// A node learns of a change.
    pub(crate) fn learn(&mut self, node: usize, news: NodeNews) {
        let clock = self.clock();
        match news {
            NodeNews::Present {
                engine,
                home,
                leaving,
                exclusive_from,
            } => {
                let engine = engine as usize;
                let facts = self.facts_of(engine, home as usize, leaving);
                let node = &mut self.nodes[node];
                node.view.engines[engine].open = !leaving;
                // A process that starts anew has no slots of the old one.
                if !leaving && exclusive_from == ClockTime::ZERO {
                    node.table.remove_endpoint(facts.id);
                }
                node.table.upsert_endpoint(facts, exclusive_from);
            }
            NodeNews::Absent { engine } => {
                // A process that is back is told of by its own announcement.
                let engine = engine as usize;
                if !self.engines[engine].alive {
                    let node = &mut self.nodes[node];
                    node.view.engines[engine].open = false;
                    node.table.remove_endpoint(self.engine_ids[engine]);
                }
            }
            NodeNews::NodeGone { gone } => {
                let id = self.node_ids[gone as usize];
                if !self.nodes[gone as usize].alive {
                    self.forget_node(node, id);
                }
            }
            NodeNews::NodeBack { back } => {
                let id = self.node_ids[back as usize];
                // It restarted: what it held before is gone with it.
                self.nodes[node].table.expire_node_slots(id, clock);
                self.nodes[node].nodes.insert(id);
                self.nodes[node].apply_nodes(clock);
            }
        }
    }

    fn forget_node(&mut self, node: usize, gone: NodeId) {
        let clock = self.clock();
        let node = &mut self.nodes[node];
        node.nodes.remove(&gone);
        node.apply_nodes(clock);
        node.table.expire_node_slots(gone, clock);
    }
}

/// A load as a digest carries it: exact when small, else rounded down to one part in 32.
fn quantised(digest: LoadDigest) -> LoadDigest {
    const EXACT_BITS: u32 = 5;
    let spare = (u32::BITS - digest.load.leading_zeros()).saturating_sub(EXACT_BITS);
    let load = digest.load >> spare << spare;
    LoadDigest { load, ..digest }
}
