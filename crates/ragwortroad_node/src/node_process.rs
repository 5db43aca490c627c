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
        control_inbox::{
            ControlInbox,
            PageCall,
            SteeringOrder, //
        },
        control_state::ControlState,
        follow_seat::FollowSeat,
        line_table::LineTable, //
    },
    event_log::EventLog,
    member::member_seat::{
        MemberSeat,
        SeatStart, //
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
        claim_desk::ClaimDesk,
        ended_attempts::EndedAttempts,
        ticket_table::TicketTable,
        wait_table::WaitTable, //
    },
    slot::{
        grant_book::GrantBook,
        release_queue::ReleaseQueue, //
    }, //
};

/// One running node.
///
/// It is the root of its threads: the control thread, which owns the transport and the disk
/// thread, and the gateway with the traffic threads. [`Self::stop`] joins all of them.
pub struct NodeProcess {
    gateway: GatewayServer,
    control: JoinHandle<()>,
    steering: Sender<SteeringOrder>,
    peer_address: SocketAddr,
    bytes: Arc<ByteCounts>,
    gate: Arc<PartitionFilter>,
}

/// Share of first attempts that may be repeated, and retries that are saved up for quiet times.
const RETRY_SHARE: f64 = 0.1;
/// Retries a node may make before it has earned any.
const RETRY_RESERVE: u32 = 32;

/// Shortest time between two loads of one endpoint told to the fleet. Older loads make nodes crowd
/// the engine that was idle a moment ago; the gossip budget bounds what newer ones cost.
const LOAD_SPACING: Duration = Duration::from_secs(1);

/// How long a page may take the control thread.
const PAGE_PATIENCE: Duration = Duration::from_secs(2);

impl NodeProcess {
    /// Starts a node.
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
        let gate = transport.partition_filter();
        let (calls, call_queue) = flume::unbounded();
        let (steering, steering_queue) = flume::unbounded();
        let (reports, disk) = flume::unbounded();
        let gateway = start_gateway(&settings, calls, &steering)?;
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
            disk: state.member.is_some().then_some(disk),
            steering: steering_queue,
        };
        let control = Builder::new()
            .name("control".to_owned())
            .spawn(move || state.run(&inbox))
            .context(ThreadSnafu { name: "control" })?;
        Ok(Self {
            gateway,
            control,
            steering,
            peer_address,
            bytes,
            gate,
        })
    }

    /// Where callers, endpoints and operators connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.gateway.local_address()
    }

    /// Where other nodes connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Requests between their head and the last byte of their answer.
    pub fn in_flight(&self) -> usize {
        self.gateway.in_flight()
    }

    /// Bytes sent to other nodes and received from them, in UDP payloads, as of the last second.
    pub fn control_bytes(&self) -> (u64, u64) {
        self.bytes.read()
    }

    /// The links to other nodes, which a test can cut.
    #[doc(hidden)]
    pub fn gate(&self) -> &PartitionFilter {
        &self.gate
    }

    /// Keeps the control thread from doing anything until what is returned is dropped.
    #[doc(hidden)]
    pub fn freeze(&self) -> Sender<()> {
        let (hold, held) = flume::bounded(0);
        if self.steering.send(SteeringOrder::Freeze(held)).is_err() {
            tracing::error!("the control thread ended before the freeze");
        }
        hold
    }

    /// Ends at once, as a process that is killed does: nothing is drained, finished or told.
    ///
    /// The control thread ends first, so that requests that are cut leave no trace in the log.
    #[doc(hidden)]
    pub fn crash(self) {
        if self.steering.send(SteeringOrder::Crash).is_err() {
            tracing::error!("the control thread ended before the crash");
        }
        if self.control.join().is_err() {
            tracing::error!("the control thread panicked");
        }
        self.gateway.abort();
    }

    /// Drains: takes no new work, finishes every request in flight, joins every thread.
    pub fn stop(self) {
        if self.steering.send(SteeringOrder::Drain).is_err() {
            tracing::error!("the control thread ended before the drain");
        }
        // Requests in flight need the control thread for their ends, so it goes on until they are
        // whole.
        self.gateway.join();
        if self.steering.send(SteeringOrder::Stop).is_err() {
            tracing::error!("the control thread ended before the traffic");
        }
        if self.control.join().is_err() {
            tracing::error!("the control thread panicked");
        }
    }
}

/// Reads this node's certificate and key, and the fleet's authority.
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
    steering: &Sender<SteeringOrder>,
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
        timeline: Arc::new(timeline_page(steering.clone())),
    };
    GatewayServer::start(gateway, calls, pages).context(HttpSnafu)
}

/// The page of this node's events, made by the control thread.
fn timeline_page(
    steering: Sender<SteeringOrder>,
) -> impl Fn([u8; 32], &str) -> Result<String, RefusalWire> {
    move |key_hash, query| {
        let refuse = |code, message: &str| {
            let outcome = RequestOutcome::NotRun;
            RefusalWire::new(outcome, code, message, RequestId::default())
        };
        let (reply, answer) = flume::bounded(1);
        let filter = read_filter(query).ok_or_else(|| {
            let message = "the filter cannot be read";
            refuse(RefusalCode::MalformedRequest, message)
        })?;
        let call = PageCall {
            key_hash,
            filter,
            reply,
        };
        let gone = || refuse(RefusalCode::InternalFault, "the control thread has ended");
        steering
            .send(SteeringOrder::Page(call))
            .map_err(|_| gone())?;
        let page = answer.recv_timeout(PAGE_PATIENCE).map_err(|_| gone())?;
        page.ok_or_else(|| refuse(RefusalCode::WrongKey, "no operator has this key"))
    }
}

/// The filter in `filter=HEX`, the hexadecimal form of its JSON; no query lets everything pass.
fn read_filter(query: &str) -> Option<EventFilter> {
    let Some(text) = query.strip_prefix("filter=") else {
        return query.is_empty().then(EventFilter::default);
    };
    let bytes = data_encoding::HEXLOWER_PERMISSIVE
        .decode(text.as_bytes())
        .ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// What the control state is made of.
struct ControlParts {
    settings: ProcessSettings,
    secrets: NodeSecrets,
    transport: PeerTransport,
    reports: Sender<crate::disk_worker::DiskReport>,
    /// Where this node takes callers, and where it takes its peers.
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
    let mut random = ControlState::seeded(incarnation ^ node.0);
    let member = MemberSeat::open(SeatStart {
        settings: &settings,
        node,
        fresh_identity: random.next_u64(),
        start: incarnation,
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
        budget: RetryBudget::new(RETRY_SHARE, RETRY_RESERVE),
        rule: RetryPolicy::default(),
        follow: FollowSeat::default(),
        member,
        tickets: TicketTable::default(),
        ended: EndedAttempts::default(),
        waits: WaitTable::default(),
        claims: ClaimDesk::default(),
        grants: GrantBook::default(),
        releases: ReleaseQueue::default(),
        lines: LineTable::default(),
        orders: None,
        refused: RefusedDemand::default(),
        draining: false,
        second: ClockTime::ZERO,
        said_hello: ClockTime::ZERO,
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
        min_load_interval: LOAD_SPACING,
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
