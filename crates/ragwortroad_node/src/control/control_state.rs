use std::{
    sync::Arc,
    time::Duration, //
};

use ragwortroad_clock::prelude::*;
use ragwortroad_consensus::prelude::*;
use ragwortroad_gateway::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64;

use crate::{
    byte_counts::ByteCounts,
    control::{
        config_follower::ConfigFollower,
        control_inbox::{
            ControlEvent,
            ControlInbox,
            SupervisorCommand, //
        },
        line_table::LineTable, //
    },
    event_log::EventLog,
    member::state_replica::StateReplica,
    node_secrets::NodeSecrets,
    order::{
        order_worker::OrderWorker,
        refused_demand::RefusedDemand, //
    },
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

/// All state of one node, owned by its control thread.
pub(crate) struct ControlState {
    pub(crate) clock: RealClock,
    pub(crate) settings: ProcessSettings,
    pub(crate) node: NodeId,
    /// Differs between runs of this process.
    pub(crate) incarnation: u64,
    /// Random number generator, seeded once for each process.
    pub(crate) random: Pcg64,
    pub(crate) secrets: NodeSecrets,
    /// Connections to other nodes.
    pub(crate) transport: PeerTransport,
    /// The nodes and endpoints known through gossip.
    pub(crate) membership: MembershipTable,
    /// Selects an endpoint for each attempt.
    pub(crate) route: RouteTable,
    /// Encodes and decodes placement hints.
    pub(crate) hints: HintCodec,
    /// Enforces the customers' limits.
    pub(crate) limiter: CustomerLimiter,
    /// Retries that this node may still make.
    pub(crate) retry_budget: RetryBudget,
    /// Decides whether a failed attempt may be retried.
    pub(crate) retry_policy: RetryPolicy,
    /// The configuration in force, and whether requests may be admitted under it.
    pub(crate) follower: ConfigFollower,
    /// Present if this node is a member of the replicated state.
    pub(crate) replica: Option<StateReplica>,
    /// Attempts in flight.
    pub(crate) tickets: TicketTable,
    /// Attempts that ended recently.
    pub(crate) ended: EndedAttempts,
    /// Endpoints that want no request from this node for some time.
    pub(crate) rests: RestTable,
    /// Crashes of endpoints by the requests that were running there.
    pub(crate) crashes: CrashTable,
    /// Number of nodes that this one has asked for the crashes known to them.
    pub(crate) crash_sources: u32,
    /// Attempts that wait for a slot from another node, or for their hold to end.
    pub(crate) waits: WaitTable,
    /// Claim steps that the leader hasn't answered.
    pub(crate) claims: ClaimQueue,
    /// Slots granted to other nodes.
    pub(crate) grants: GrantTable,
    /// Releases of slots that other nodes haven't confirmed.
    pub(crate) releases: ReleaseQueue,
    /// Operators' lines that were forwarded to the leader.
    pub(crate) lines: LineTable,
    /// Sends orders to engines; started when this node is first granted the lease for orders.
    pub(crate) orders: Option<OrderWorker>,
    /// Requests refused here for lack of capacity; the leader uses them to place models.
    pub(crate) refused: RefusedDemand,
    /// Recent events for the timeline.
    pub(crate) events: EventLog,
    /// Set once a graceful shutdown has begun; no new requests are admitted from then on.
    pub(crate) draining: bool,
    /// When the once-a-second duties last ran.
    pub(crate) last_slow_tick: ClockTime,
    /// When this node last sent a hello for its data folder to the other members.
    pub(crate) last_hello: ClockTime,
    /// Bytes exchanged with other nodes, shared with the owner of the process.
    pub(crate) bytes: Arc<ByteCounts>,
}

/// How the control thread ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ThreadEnd {
    /// Orderly: the other nodes are notified.
    Stop,
    /// As if the process were killed.
    Crash,
}

impl ThreadEnd {
    /// Returns how `event` ends the thread, or `None` if it doesn't.
    fn of(event: &ControlEvent) -> Option<Self> {
        match event {
            ControlEvent::Supervisor(SupervisorCommand::Stop) => Some(Self::Stop),
            ControlEvent::Supervisor(SupervisorCommand::Crash) => Some(Self::Crash),
            _ => None,
        }
    }
}

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two runs of the duties in `tick_second`.
const SLOW_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of events handled before the flush that ends each round.
const MAX_ROUND_EVENTS: usize = 256;

impl ControlState {
    /// Handles events until the supervisor ends the thread.
    pub(crate) fn run(mut self, inbox: &ControlInbox) {
        self.record_node_event(EventKind::ProcessStarted, self.node);
        let mut next_tick = self.clock.now();
        loop {
            let now = self.clock.now();
            let wake_at = self
                .waits
                .next_due()
                .map_or(next_tick, |due| due.min(next_tick));
            let timeout = wake_at.since(now);
            let end = inbox
                .next(timeout)
                .and_then(|event| self.handle_round(event, inbox));
            if let Some(end) = end {
                return self.end(end);
            }
            let now = self.clock.now();
            if now >= next_tick {
                self.tick(now);
                next_tick = now.after(TICK_INTERVAL);
            }
            self.flush(now);
        }
    }

    /// Handles one event and those already queued. Returns how to end the thread if an event asks
    /// for it.
    fn handle_round(&mut self, first: ControlEvent, inbox: &ControlInbox) -> Option<ThreadEnd> {
        let mut next = Some(first);
        for _ in 0..MAX_ROUND_EVENTS {
            let event = next?;
            if let Some(end) = ThreadEnd::of(&event) {
                return Some(end);
            }
            self.handle(event);
            next = inbox.ready();
        }
        // The last event is already taken from its channel and would be lost with the round.
        if let Some(event) = next {
            if let Some(end) = ThreadEnd::of(&event) {
                return Some(end);
            }
            self.handle(event);
        }
        None
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Call(call) => self.handle_call(*call, now),
            ControlEvent::Peer(event) => self.handle_peer(event, now),
            ControlEvent::Disk(report) => self.handle_disk(report, now),
            ControlEvent::Supervisor(SupervisorCommand::Drain) => self.begin_drain(now),
            ControlEvent::Supervisor(SupervisorCommand::Timeline(call)) => {
                self.serve_timeline(call)
            }
            ControlEvent::Supervisor(SupervisorCommand::Freeze(released)) => {
                // Nothing is ever sent; the channel closes when the freeze ends.
                released.recv().unwrap_or_default();
            }
            ControlEvent::Supervisor(SupervisorCommand::Stop | SupervisorCommand::Crash) => {}
        }
    }

    fn handle_call(&mut self, call: ControlCall, now: ClockTime) {
        match call {
            ControlCall::Admit(call, reply) => self.admit(call, reply, now),
            ControlCall::Finish(finish) => self.finish(finish, now),
            ControlCall::Addresses(call, reply) => {
                let response = self.addresses(&call, now);
                send_reply(&reply, response);
            }
            ControlCall::Announce(call, reply) => {
                let response = self.announce(call, now);
                send_reply(&reply, response);
            }
            ControlCall::Operator(call, reply) => self.handle_operator(call, reply, now),
        }
    }

    /// Runs the duties that depend on time.
    fn tick(&mut self, now: ClockTime) {
        self.tick_membership(now);
        self.tick_member(now);
        self.tick_follow(now);
        self.tick_waits(now);
        self.tick_lines(now);
        self.send_claims(now);
        self.propose_claims(now);
        self.send_crashes(now);
        self.tick_orders(now);
        self.record_currency(now);
        if now.since(self.last_slow_tick) >= SLOW_TICK_INTERVAL {
            self.last_slow_tick = now;
            self.tick_second(now);
        }
    }

    /// Runs the duties that are needed once a second.
    fn tick_second(&mut self, now: ClockTime) {
        self.route.tick(now);
        self.rests.expire(now);
        self.refresh_remote_loads();
        self.grants.tick(now);
        self.send_shares(now);
        self.resend_releases(now);
        self.publish_refused_demand();
        self.plan_engines(now);
        self.publish_gauges(now);
        self.publish_order_gauges(now);
    }

    /// Sends what the events of one round have queued.
    fn flush(&mut self, now: ClockTime) {
        self.place_due_attempts(now);
        if self.claims.is_urgent() {
            self.send_claims(now);
        }
        if self.claims_are_urgent() {
            self.propose_claims(now);
        }
    }

    /// Begins a graceful shutdown. The traffic threads continue until every response is complete.
    fn begin_drain(&mut self, now: ClockTime) {
        tracing::info!(node = self.settings.node.name, "draining");
        self.draining = true;
        self.record_node_event(EventKind::ProcessStopping, self.node);
        let actions = self.membership.handle(GossipInput::LeaveStarted, now);
        self.run_gossip_actions(actions, now);
        if let Some(replica) = &mut self.replica {
            let actions = replica.handle(CoreInput::TransferLeadership, now);
            self.run_core_actions(actions, now);
        }
    }

    /// Shuts down the threads and the transport owned by this state.
    fn end(self, end: ThreadEnd) {
        let transport = match end {
            ThreadEnd::Stop => Some(self.transport),
            // The transport is dropped without closing its connections; the peers detect the
            // failure by timeout.
            ThreadEnd::Crash => {
                drop(self.transport);
                None
            }
        };
        if let Some(worker) = self.orders {
            worker.join();
        }
        if let Some(replica) = self.replica {
            replica.disk.join();
        }
        if let Some(transport) = transport {
            transport.shutdown();
        }
    }

    /// Returns an unpredictable random number.
    pub(crate) fn next_random(&mut self) -> u64 {
        self.random.next_u64()
    }

    /// Creates the generator of a process.
    pub(crate) fn seeded_rng(seed: u64) -> Pcg64 {
        Pcg64::seed_from_u64(seed)
    }
}

/// Replies to a traffic thread; a client that has disconnected needs no reply.
pub(crate) fn send_reply<T>(reply: &flume::Sender<T>, value: T) {
    if reply.try_send(value).is_err() {
        tracing::debug!("client disconnected before the reply");
    }
}
