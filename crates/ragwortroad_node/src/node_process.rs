use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{
        Builder,
        JoinHandle, //
    },
    time::Duration,
};

use flume::Sender;
use ragwortroad_clock::prelude::*;
use ragwortroad_gateway::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;
use rand::Rng;
use snafu::ResultExt;

use crate::{
    byte_counts::ByteCounts,
    control::{
        config_follower::ConfigFollower,
        control_inbox::{
            ControlInbox,
            SupervisorCommand,
            TimelineCall, //
        },
        control_state::ControlState,
        line_table::LineTable, //
    },
    event_log::EventLog,
    member::state_replica::{
        ReplicaOptions,
        StateReplica, //
    },
    metric_pages::MetricPages,
    node_error::{
        HttpSnafu,
        NodeError,
        PeersSnafu,
        ThreadSnafu, //
    },
    node_secrets::NodeSecrets,
    order::refused_demand::RefusedDemand,
    request::{
        claim_queue::ClaimQueue,
        ended_attempts::EndedAttempts,
        ticket_table::TicketTable,
        wait_table::WaitTable, //
    },
    slot::{
        grant_table::GrantTable,
        release_queue::ReleaseQueue, //
    }, //
};

/// A running node.
///
/// Owns the gateway with its traffic threads, and the control thread, which owns the transport and
/// the disk thread. [`Self::stop`] joins all of them.
pub struct NodeProcess {
    gateway: GatewayServer,
    control: JoinHandle<()>,
    commands: Sender<SupervisorCommand>,
    peer_address: SocketAddr,
    bytes: Arc<ByteCounts>,
    partition_filter: Arc<PartitionFilter>,
}

/// Retries earned with each first attempt.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of retries saved up for later; all of them are available from the start.
const RETRY_RESERVE: u32 = 32;

/// Minimum interval between two gossiped loads of one endpoint. With older loads, all nodes would
/// send their requests to the engine that was idle a moment ago; the gossip budget bounds the cost
/// of newer ones.
const MIN_LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// How long a timeline request waits for the control thread.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

impl NodeProcess {
    /// Starts a node: reads its secrets and keys, opens its ports and its data folder, and starts
    /// its threads.
    ///
    /// # Errors
    ///
    /// Fails if a file, a port or the data folder can't be used, or if a thread can't be started.
    pub fn start(settings: ProcessSettings) -> Result<Self, NodeError> {
        MetricPages::start();
        let secrets = NodeSecrets::read(&settings.fleet)?;
        let keys = read_keys(&settings)?;
        let (transport, peers) = PeerTransport::start(TransportSettings {
            listen: settings.node.peer,
            keys,
            ..TransportSettings::default()
        })
        .context(PeersSnafu)?;
        let peer_address = transport.local_address();
        let partition_filter = transport.partition_filter();
        let (calls, call_queue) = flume::unbounded();
        let (commands, command_queue) = flume::unbounded();
        let (reports, disk) = flume::unbounded();
        let gateway = start_gateway(&settings, calls, &commands)?;
        let addresses = (gateway.local_address(), peer_address);
        let parts = ControlParts {
            settings,
            secrets,
            transport,
            reports,
            addresses,
        };
        let state = control_state(parts)?;
        let bytes = Arc::clone(&state.bytes);
        let inbox = ControlInbox {
            calls: call_queue,
            peers,
            disk: state.replica.is_some().then_some(disk),
            commands: command_queue,
        };
        let control = Builder::new()
            .name("control".to_owned())
            .spawn(move || state.run(&inbox))
            .context(ThreadSnafu { name: "control" })?;
        Ok(Self {
            gateway,
            control,
            commands,
            peer_address,
            bytes,
            partition_filter,
        })
    }

    /// Returns the address to which clients, endpoints and operators connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.gateway.local_address()
    }

    /// Returns the address to which other nodes connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the number of requests in flight, from the request head to the last byte of the
    /// response.
    pub fn in_flight(&self) -> usize {
        self.gateway.in_flight()
    }

    /// Returns the bytes sent to other nodes and received from them, in UDP payloads, updated once
    /// a second.
    pub fn control_bytes(&self) -> (u64, u64) {
        self.bytes.read()
    }

    /// Returns the filter that lets a test cut the links to other nodes.
    #[doc(hidden)]
    pub fn partition_filter(&self) -> &PartitionFilter {
        &self.partition_filter
    }

    /// Blocks the control thread until the returned sender is dropped.
    #[doc(hidden)]
    pub fn freeze(&self) -> Sender<()> {
        let (hold, released) = flume::bounded(0);
        if self
            .commands
            .send(SupervisorCommand::Freeze(released))
            .is_err()
        {
            tracing::error!("the control thread ended before the freeze");
        }
        hold
    }

    /// Ends the node at once, like a killed process: nothing is drained, completed or announced.
    ///
    /// The control thread ends first, so that requests that are cut off leave no trace in the log.
    #[doc(hidden)]
    pub fn crash(self) {
        if self.commands.send(SupervisorCommand::Crash).is_err() {
            tracing::error!("the control thread ended before the crash");
        }
        if self.control.join().is_err() {
            tracing::error!("the control thread panicked");
        }
        self.gateway.abort();
    }

    /// Shuts down gracefully: admits no new requests, completes those in flight, and joins every
    /// thread.
    pub fn stop(self) {
        if self.commands.send(SupervisorCommand::Drain).is_err() {
            tracing::error!("the control thread ended before the drain");
        }
        // Requests in flight report their end to the control thread, so it runs until all of them
        // are complete.
        self.gateway.join();
        if self.commands.send(SupervisorCommand::Stop).is_err() {
            tracing::error!("the control thread ended before the traffic threads");
        }
        if self.control.join().is_err() {
            tracing::error!("the control thread panicked");
        }
    }
}

/// Reads this node's certificate and key, and the fleet's certificate authority.
fn read_keys(settings: &ProcessSettings) -> Result<PeerKeys, NodeError> {
    let folder = &settings.fleet.keys;
    let name = &settings.node.name;
    PeerKeys::read(
        &folder.join("authority.pem"),
        &folder.join(format!("{name}.pem")),
        &folder.join(format!("{name}.key")),
    )
    .context(PeersSnafu)
}

fn start_gateway(
    settings: &ProcessSettings,
    calls: Sender<ControlCall>,
    commands: &Sender<SupervisorCommand>,
) -> Result<GatewayServer, NodeError> {
    let limits = &settings.limits;
    let gateway = GatewaySettings {
        node_name: settings.node.name.clone(),
        listen: settings.node.listen,
        traffic_threads: settings.node.traffic_threads,
        max_body_bytes: limits.max_body as usize,
        max_header_bytes: limits.max_header as usize,
        max_connections: limits.max_connections as usize,
        idle_timeout: limits.idle_timeout,
        header_timeout: limits.header_timeout,
        body_timeout: limits.body_timeout,
        default_deadline: limits.default_deadline,
        max_deadline: limits.max_deadline,
        ..GatewaySettings::default()
    };
    let pages = GatewayPages {
        metrics: Arc::new(MetricPages::render),
        timeline: Arc::new(timeline_page(commands.clone())),
    };
    GatewayServer::start(gateway, calls, pages).context(HttpSnafu)
}

/// Returns the handler for this node's timeline, which the control thread produces.
fn timeline_page(
    commands: Sender<SupervisorCommand>,
) -> impl Fn([u8; 32], &str) -> Result<String, RefusalWire> {
    move |key_hash, query| {
        let refuse = |code, message: &str| {
            let outcome = RequestOutcome::NotRun;
            RefusalWire::new(outcome, code, message, RequestId::default())
        };
        let (reply, receiver) = flume::bounded(1);
        let filter = read_filter(query).ok_or_else(|| {
            let message = "the filter cannot be read";
            refuse(RefusalCode::MalformedRequest, message)
        })?;
        let call = TimelineCall {
            key_hash,
            filter,
            reply,
        };
        let gone = || refuse(RefusalCode::InternalFault, "the control thread has ended");
        commands
            .send(SupervisorCommand::Timeline(call))
            .map_err(|_| gone())?;
        let page = receiver.recv_timeout(PAGE_TIMEOUT).map_err(|_| gone())?;
        page.ok_or_else(|| refuse(RefusalCode::WrongKey, "no operator has this key"))
    }
}

/// Parses `filter=HEX`, the hexadecimal form of the filter's JSON. An empty query selects all
/// events; `None` if the query is malformed.
fn read_filter(query: &str) -> Option<EventFilter> {
    let Some(text) = query.strip_prefix("filter=") else {
        return query.is_empty().then(EventFilter::default);
    };
    let bytes = data_encoding::HEXLOWER_PERMISSIVE
        .decode(text.as_bytes())
        .ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// What the control state is created from.
struct ControlParts {
    settings: ProcessSettings,
    secrets: NodeSecrets,
    transport: PeerTransport,
    reports: Sender<crate::disk_worker::DiskReport>,
    /// The address for clients and the address for peers.
    addresses: (SocketAddr, SocketAddr),
}

fn control_state(parts: ControlParts) -> Result<ControlState, NodeError> {
    let ControlParts {
        settings,
        secrets,
        transport,
        reports,
        addresses,
    } = parts;
    let clock = RealClock::start();
    let now = clock.now();
    let incarnation = clock.wall_ms();
    let node = NodeId::from_name(&settings.node.name);
    let mut random = ControlState::seeded_rng(incarnation ^ node.0);
    let replica = StateReplica::open(ReplicaOptions {
        settings: &settings,
        node,
        fresh_identity: random.next_u64(),
        started_wall_ms: incarnation,
        now,
        reports,
    })?;
    let membership = membership(&settings, addresses, incarnation, random.next_u64());
    let route = RouteTable::new(RouteSettings {
        node,
        zone: ZoneKey::from_name(&settings.node.zone),
        ..RouteSettings::default()
    });
    let limiter = CustomerLimiter::new(LimiterSettings {
        node,
        ..LimiterSettings::default()
    });
    Ok(ControlState {
        clock,
        node,
        incarnation,
        random,
        secrets,
        transport,
        membership,
        route,
        hints: HintCodec::new(secrets.hints),
        limiter,
        retry_budget: RetryBudget::new(RETRY_RATIO, RETRY_RESERVE),
        retry_policy: RetryPolicy::default(),
        follower: ConfigFollower::default(),
        replica,
        tickets: TicketTable::default(),
        ended: EndedAttempts::default(),
        rests: RestTable::default(),
        crashes: CrashTable::default(),
        crash_sources: 0,
        waits: WaitTable::default(),
        claims: ClaimQueue::default(),
        grants: GrantTable::default(),
        releases: ReleaseQueue::default(),
        lines: LineTable::default(),
        orders: None,
        refused: RefusedDemand::default(),
        draining: false,
        last_slow_tick: ClockTime::ZERO,
        last_hello: ClockTime::ZERO,
        bytes: Arc::default(),
        events: EventLog::new(clock),
        settings,
    })
}

fn membership(
    settings: &ProcessSettings,
    (caller_address, gossip_address): (SocketAddr, SocketAddr),
    incarnation: u64,
    seed: u64,
) -> MembershipTable {
    let known = settings.fleet.seeds.iter().chain(&settings.state.members);
    let seeds = known.filter(|known| known.name != settings.node.name);
    let seeds = seeds.map(|known| SeedNode {
        node: NodeId::from_name(&known.name),
        address: known.peer,
    });
    let membership = MembershipSettings {
        seeds: seeds.collect(),
        clock_drift: settings.state.drift_permille as f64 / 1000.0,
        min_load_interval: MIN_LOAD_INTERVAL,
        ..MembershipSettings::default()
    };
    let record = NodeRecord {
        region: settings.node.region.clone(),
        caller_address,
        incarnation,
        ..NodeRecord::new(&settings.node.name, &settings.node.zone, gossip_address)
    };
    MembershipTable::new(membership, record, seed)
}
