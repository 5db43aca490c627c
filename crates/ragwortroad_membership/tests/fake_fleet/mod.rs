//! A deterministic simulation of many membership tables with a fake network, drifting clocks and
//! endpoints that announce themselves. One seed determines everything.

#![allow(dead_code)]

pub(crate) mod fake_endpoint;
pub(crate) mod fake_network;
pub(crate) mod fake_node;
pub(crate) mod fleet_checks;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_membership::prelude::*;
use ragwortroad_types::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use fake_endpoint::FakeEndpoint;
use fake_network::FakeNetwork;
use fake_node::FakeNode;

/// Interval between ticks of a node.
const TICK_MS: u64 = 100;
/// Time after which an endpoint stops waiting for the response to an announcement.
const ANNOUNCE_TIMEOUT_MS: u64 = 1000;

/// Time without packets after which a connection between two nodes is closed.
const CONNECTION_IDLE_MS: u64 = 15_000;

/// A simulated event at a node or an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FakeEvent {
    /// A tick of a node; ignored if the node has restarted since.
    Tick { node: usize, generation: u64 },
    /// A packet arrives.
    Packet {
        to: usize,
        from: NodeId,
        bytes: Vec<u8>,
    },
    /// An endpoint announces itself.
    Announce {
        endpoint: usize,
        generation: u64,
        sequence: u64,
    },
    /// An announcement arrives at a node.
    Arrive {
        node: usize,
        endpoint: usize,
        generation: u64,
        sequence: u64,
    },
    /// The response to an announcement arrives.
    Response {
        endpoint: usize,
        generation: u64,
        sequence: u64,
        to: Vec<String>,
        every: u64,
    },
    /// An endpoint's announcement times out.
    AnnounceTimeout {
        endpoint: usize,
        generation: u64,
        sequence: u64,
    },
}

/// Violations and statistics collected during a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FleetFindings {
    /// Descriptions of each moment at which two nodes could admit work to one endpoint.
    pub(crate) double_homes: Vec<String>,
    /// Number of checks for such moments.
    pub(crate) home_checks: u64,
    /// Number of events processed.
    pub(crate) events: u64,
    /// Number of packets lost, long delayed or duplicated by the network.
    pub(crate) network_faults: u64,
    /// Number of times that a running and reachable node was marked down by another.
    pub(crate) false_downs: u64,
    /// Total number of `NodeDown` actions.
    pub(crate) node_downs: u64,
    /// Number of times that endpoints switched to another home.
    pub(crate) switches: u64,
    /// Number of announcements sent.
    pub(crate) announces: u64,
}

/// A simulated fleet.
pub(crate) struct FakeFleet {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<FakeNode>,
    pub(crate) endpoints: Vec<FakeEndpoint>,
    pub(crate) network: FakeNetwork,
    pub(crate) findings: FleetFindings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) settings: MembershipSettings,
    /// Whether homes are checked at every announcement. Measurements switch this off.
    pub(crate) verify_homes: bool,
    /// Processing time spent in the tables; used by measurements only.
    pub(crate) table_time: Duration,
    /// When a packet was last sent between two nodes.
    connections: BTreeMap<(usize, usize), u64>,
    queue: BinaryHeap<Reverse<(u64, u64, FakeEvent)>>,
    order: u64,
}

impl FakeFleet {
    /// Creates a fleet of `nodes` nodes in `zones` zones, three zones per region, with clocks that
    /// drift by up to the bound in the settings. The `endpoints` endpoints are distributed over the
    /// zones.
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        endpoints: usize,
        zones: usize,
        settings: &MembershipSettings,
    ) -> Self {
        let mut fleet = Self {
            now: 0,
            nodes: Vec::new(),
            endpoints: Vec::new(),
            network: FakeNetwork::new(seed),
            findings: FleetFindings::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            settings: settings.clone(),
            verify_homes: true,
            table_time: Duration::ZERO,
            connections: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
        };
        for index in 0..nodes {
            let drift = settings.clock_drift * fleet.rng.random_range(-1.0..=1.0);
            let offset = fleet.rng.random_range(0..1_000_000);
            fleet
                .nodes
                .push(FakeNode::new(index, index % zones, 1.0 + drift, offset));
        }
        for index in 0..nodes {
            fleet.start_node(index);
        }
        for index in 0..endpoints {
            let targets = fleet.shuffled_addresses();
            fleet
                .endpoints
                .push(FakeEndpoint::new(index, index % zones, targets));
            fleet.start_endpoint(index);
        }
        fleet
    }

    /// Starts a node, or restarts it with empty state.
    pub(crate) fn start_node(&mut self, index: usize) {
        let seeds = self.nodes.iter().take(3).map(FakeNode::seed).collect();
        let settings = MembershipSettings {
            seeds,
            ..self.settings.clone()
        };
        let seed = self.rng.random();
        // The random offset covers wall clocks that were set back between two starts.
        let incarnation = (self.now + 10_000).saturating_sub(self.rng.random_range(0..20_000));
        let node = &mut self.nodes[index];
        node.start(settings, incarnation.max(1), seed);
        let generation = node.generation;
        let first = self.now + self.rng.random_range(0..TICK_MS);
        self.push(
            first,
            FakeEvent::Tick {
                node: index,
                generation,
            },
        );
    }

    /// Starts or restarts an endpoint.
    pub(crate) fn start_endpoint(&mut self, index: usize) {
        let targets = self.shuffled_addresses();
        let endpoint = &mut self.endpoints[index];
        endpoint.start(targets);
        let (generation, sequence) = (endpoint.generation, endpoint.sequence);
        let at = self.now + self.rng.random_range(0..1000);
        self.push(
            at,
            FakeEvent::Announce {
                endpoint: index,
                generation,
                sequence,
            },
        );
    }

    fn shuffled_addresses(&mut self) -> Vec<String> {
        let mut addresses: Vec<String> = self.nodes.iter().map(FakeNode::caller_address).collect();
        for index in (1..addresses.len()).rev() {
            addresses.swap(index, self.rng.random_range(0..=index));
        }
        addresses
    }

    fn push(&mut self, at: u64, event: FakeEvent) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    /// Advances the time by `span` milliseconds.
    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.findings.events += 1;
            self.dispatch(event);
        }
        self.now = end;
        self.findings.network_faults = self.network.faults;
        self.findings.switches = self
            .endpoints
            .iter()
            .map(|candidate| candidate.switches)
            .sum();
    }

    fn dispatch(&mut self, event: FakeEvent) {
        match event {
            FakeEvent::Tick { node, generation } => self.tick(node, generation),
            FakeEvent::Packet { to, from, bytes } => {
                let until = self.nodes[to].paused_until;
                if until > self.now {
                    return self.push(until, FakeEvent::Packet { to, from, bytes });
                }
                self.input(to, GossipInput::Packet { from, bytes });
            }
            FakeEvent::Announce {
                endpoint,
                generation,
                sequence,
            } => self.announce(endpoint, generation, sequence),
            FakeEvent::Arrive {
                node,
                endpoint,
                generation,
                sequence,
            } => self.arrive(node, endpoint, generation, sequence),
            FakeEvent::Response {
                endpoint,
                generation,
                sequence,
                to,
                every,
            } => {
                if let Some(next) =
                    self.endpoints[endpoint].handle_response(generation, sequence, to)
                {
                    self.push(
                        self.now + every,
                        FakeEvent::Announce {
                            endpoint,
                            generation,
                            sequence: next,
                        },
                    );
                }
            }
            FakeEvent::AnnounceTimeout {
                endpoint,
                generation,
                sequence,
            } => {
                if let Some(next) = self.endpoints[endpoint].handle_timeout(generation, sequence) {
                    self.push(
                        self.now,
                        FakeEvent::Announce {
                            endpoint,
                            generation,
                            sequence: next,
                        },
                    );
                }
            }
        }
    }

    fn tick(&mut self, node: usize, generation: u64) {
        let fake_node = &self.nodes[node];
        if fake_node.generation != generation || fake_node.table.is_none() {
            return;
        }
        if fake_node.paused_until > self.now {
            return self.push(fake_node.paused_until, FakeEvent::Tick { node, generation });
        }
        self.input(node, GossipInput::Tick);
        self.push(self.now + TICK_MS, FakeEvent::Tick { node, generation });
    }

    fn announce(&mut self, endpoint: usize, generation: u64, sequence: u64) {
        let Some(address) = self.endpoints[endpoint].send(generation, sequence, &mut self.rng)
        else {
            return;
        };
        self.findings.announces += 1;
        self.push(
            self.now + ANNOUNCE_TIMEOUT_MS,
            FakeEvent::AnnounceTimeout {
                endpoint,
                generation,
                sequence,
            },
        );
        let Some(node) = FakeNode::index_by_caller_address(&address) else {
            return;
        };
        if let Some(delay) = self.network.announce_delay(&self.nodes[node]) {
            self.push(
                self.now + delay,
                FakeEvent::Arrive {
                    node,
                    endpoint,
                    generation,
                    sequence,
                },
            );
        }
    }

    fn arrive(&mut self, node: usize, endpoint: usize, generation: u64, sequence: u64) {
        let until = self.nodes[node].paused_until;
        if until > self.now {
            return self.push(
                until,
                FakeEvent::Arrive {
                    node,
                    endpoint,
                    generation,
                    sequence,
                },
            );
        }
        let Some(wire) = self.endpoints[endpoint].take_sent(generation, sequence) else {
            return;
        };
        if self.nodes[node].table.is_none() {
            return;
        }
        self.input(node, GossipInput::Announce(wire));
        let id = self.endpoints[endpoint].id();
        self.check_home(endpoint);
        let clock = self.nodes[node].clock(self.now);
        let Some(table) = &self.nodes[node].table else {
            return;
        };
        let start = Instant::now();
        let response = table.announce_response(id, clock);
        self.table_time += start.elapsed();
        if let Some(delay) = self.network.announce_delay(&self.nodes[node]) {
            let (to, every) = (response.announce_to, response.every_ms);
            self.push(
                self.now + delay,
                FakeEvent::Response {
                    endpoint,
                    generation,
                    sequence,
                    to,
                    every,
                },
            );
        }
    }

    /// Passes an input to a node and carries out the resulting actions.
    pub(crate) fn input(&mut self, node: usize, input: GossipInput) {
        let clock = self.nodes[node].clock(self.now);
        let Some(table) = &mut self.nodes[node].table else {
            return;
        };
        let from = table.own_id();
        let start = Instant::now();
        let actions = table.handle(input, clock);
        self.table_time += start.elapsed();
        for action in actions {
            match action {
                GossipAction::Send { address, bytes, .. } => self.send(node, from, address, &bytes),
                GossipAction::NodeDown(id) => self.check_node_down(node, id),
                GossipAction::HomeChanged(id) => {
                    if let Some(index) = self
                        .endpoints
                        .iter()
                        .position(|candidate| candidate.id() == id)
                    {
                        self.check_home(index);
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, from: NodeId, address: std::net::SocketAddr, bytes: &[u8]) {
        let fake_node = &mut self.nodes[node];
        fake_node.packets_out += 1;
        fake_node.bytes_out += bytes.len() as u64;
        let Some(to) = FakeNode::index_at(address) else {
            return;
        };
        let pair = (node.min(to), node.max(to));
        let last = self.connections.insert(pair, self.now);
        if last.is_none_or(|at| at + CONNECTION_IDLE_MS < self.now) {
            self.nodes[node].connections_opened += 1;
            self.nodes[to].connections_opened += 1;
        }
        let delays = self.network.delays(node, to, &self.nodes);
        for delay in delays {
            let bytes = bytes.to_vec();
            self.push(self.now + delay, FakeEvent::Packet { to, from, bytes });
        }
    }

    fn check_node_down(&mut self, observer: usize, id: NodeId) {
        self.findings.node_downs += 1;
        let Some(target) = self.nodes.iter().position(|candidate| candidate.id() == id) else {
            return;
        };
        let fake_node = &self.nodes[target];
        let up = fake_node.table.is_some() && fake_node.paused_until + 5000 < self.now;
        let settled = self.now > fake_node.started_at + 20_000;
        if up
            && settled
            && !self.network.is_cut(observer, target, &self.nodes)
            && !self.network.recently_cut(self.now)
        {
            self.findings.false_downs += 1;
        }
    }
}
