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
        control_inbox::{
            ControlEvent,
            ControlInbox,
            SteeringOrder, //
        },
        follow_seat::FollowSeat,
        line_table::LineTable, //
    },
    event_log::EventLog,
    member::member_seat::MemberSeat,
    node_secrets::NodeSecrets,
    order::{
        order_worker::OrderWorker,
        refused_demand::RefusedDemand, //
    },
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

/// All state of one node; owned by its control thread.
pub(crate) struct ControlState {
    /// This process's clocks.
    pub(crate) clock: RealClock,
    /// The process's settings.
    pub(crate) settings: ProcessSettings,
    /// This node.
    pub(crate) node: NodeId,
    /// Differs between runs of this process.
    pub(crate) incarnation: u64,
    /// Randomness of this process, seeded once.
    pub(crate) random: Pcg64,
    /// Hashes of the secrets in files.
    pub(crate) secrets: NodeSecrets,
    /// Messages to other nodes.
    pub(crate) transport: PeerTransport,
    /// Which nodes and endpoints there are.
    pub(crate) membership: MembershipTable,
    /// Where requests go.
    pub(crate) route: RouteTable,
    /// Placement hints.
    pub(crate) hints: HintCodec,
    /// Customers' limits.
    pub(crate) limiter: CustomerLimiter,
    /// What this node may spend on retries.
    pub(crate) budget: RetryBudget,
    /// When a failed attempt may be followed by another.
    pub(crate) rule: RetryPolicy,
    /// The configuration in force here, and the leave to admit work with it.
    pub(crate) follow: FollowSeat,
    /// This node's part in the replicated state.
    pub(crate) member: Option<MemberSeat>,
    /// Attempts under way.
    pub(crate) tickets: TicketTable,
    /// Attempts that ended lately.
    pub(crate) ended: EndedAttempts,
    /// Attempts that wait for a home's answer.
    pub(crate) waits: WaitTable,
    /// Claim steps that wait for the leader's answer.
    pub(crate) claims: ClaimDesk,
    /// Slots granted to other nodes.
    pub(crate) grants: GrantBook,
    /// Slots to be given back to other nodes.
    pub(crate) releases: ReleaseQueue,
    /// Operators' lines passed on to the leader.
    pub(crate) lines: LineTable,
    /// Sends orders to engines; started with the first grant.
    pub(crate) orders: Option<OrderWorker>,
    /// What was refused here for want of room; the leader places models by it.
    pub(crate) refused: RefusedDemand,
    /// Events for the time line.
    pub(crate) events: EventLog,
    /// No new work is taken in any more.
    pub(crate) draining: bool,
    /// When the slow duties were done last.
    pub(crate) second: ClockTime,
    /// When this node last introduced its data folder to the other members.
    pub(crate) said_hello: ClockTime,
    /// Bytes between nodes, for who owns the process.
    pub(crate) bytes: Arc<ByteCounts>,
}

/// How the control thread ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ThreadEnd {
    /// In good order.
    Stop,
    /// As if the process were killed.
    Crash,
}

impl ThreadEnd {
    /// The end that an event asks for, if it asks for one.
    fn of(event: &ControlEvent) -> Option<Self> {
        match event {
            ControlEvent::Steering(SteeringOrder::Stop) => Some(Self::Stop),
            ControlEvent::Steering(SteeringOrder::Crash) => Some(Self::Crash),
            _ => None,
        }
    }
}

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Time between two rounds of slow duties.
const SECOND: Duration = Duration::from_secs(1);

/// Events handled before the duties that follow each round.
const ROUND_EVENTS: usize = 256;

impl ControlState {
    /// Serves events until the supervisor stops the thread.
    pub(crate) fn run(mut self, inbox: &ControlInbox) {
        self.note_node(EventKind::ProcessStarted, self.node);
        let mut next_tick = self.clock.now();
        loop {
            let now = self.clock.now();
            let wake = self
                .waits
                .next_due()
                .map_or(next_tick, |due| due.min(next_tick));
            let patience = wake.since(now);
            let end = inbox
                .next(patience)
                .and_then(|event| self.serve_round(event, inbox));
            if let Some(end) = end {
                return self.end(end);
            }
            let now = self.clock.now();
            if now >= next_tick {
                self.tick(now);
                next_tick = now.after(TICK);
            }
            self.flush(now);
        }
    }

    /// Handles one event and those that are there already; tells when the thread is to end.
    fn serve_round(&mut self, first: ControlEvent, inbox: &ControlInbox) -> Option<ThreadEnd> {
        let mut next = Some(first);
        for _ in 0..ROUND_EVENTS {
            let event = next?;
            if let Some(end) = ThreadEnd::of(&event) {
                return Some(end);
            }
            self.handle(event);
            next = inbox.ready();
        }
        // The event taken last must not be lost with the round.
        if let Some(event) = next {
            if let Some(end) = ThreadEnd::of(&event) {
                return Some(end);
            }
            self.handle(event);
        }
        None
    }

    /// Handles one event.
    fn handle(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Call(call) => self.handle_call(*call, now),
            ControlEvent::Peer(event) => self.handle_peer(event, now),
            ControlEvent::Disk(report) => self.handle_disk(report, now),
            ControlEvent::Steering(SteeringOrder::Drain) => self.begin_drain(now),
            ControlEvent::Steering(SteeringOrder::Page(call)) => self.serve_page(call),
            ControlEvent::Steering(SteeringOrder::Freeze(held)) => {
                // Nothing is ever sent; the channel closes when the freeze is over.
                held.recv().unwrap_or_default();
            }
            ControlEvent::Steering(SteeringOrder::Stop | SteeringOrder::Crash) => {}
        }
    }

    fn handle_call(&mut self, call: ControlCall, now: ClockTime) {
        match call {
            ControlCall::Admit(call, reply) => self.admit(call, reply, now),
            ControlCall::Finish(finish) => self.finish(finish, now),
            ControlCall::Addresses(call, reply) => {
                let answer = self.addresses(&call, now);
                reply_to(&reply, answer);
            }
            ControlCall::Announce(call, reply) => {
                let answer = self.announce(call, now);
                reply_to(&reply, answer);
            }
            ControlCall::Operator(call, reply) => self.operator(call, reply, now),
        }
    }

    /// Duties that depend on time.
    fn tick(&mut self, now: ClockTime) {
        self.tick_membership(now);
        self.tick_member(now);
        self.tick_follow(now);
        self.tick_waits(now);
        self.tick_lines(now);
        self.send_claims(now);
        self.propose_claims(now);
        self.tick_orders(now);
        self.note_currency(now);
        if now.since(self.second) >= SECOND {
            self.second = now;
            self.tick_second(now);
        }
    }

    /// Duties that need no more than a second's care.
    fn tick_second(&mut self, now: ClockTime) {
        self.route.tick(now);
        self.repeat_digests();
        self.grants.tick(now);
        self.send_shares(now);
        self.repeat_releases(now);
        self.tell_refused();
        self.plan_engines(now);
        self.publish_gauges(now);
        self.publish_order_gauges(now);
    }

    /// Sends what the round has gathered.
    fn flush(&mut self, now: ClockTime) {
        self.place_held(now);
        if self.claims.is_urgent() {
            self.send_claims(now);
        }
        if self.claims_are_urgent() {
            self.propose_claims(now);
        }
    }

    /// Begins a graceful shutdown: the traffic threads go on until all answers are whole.
    fn begin_drain(&mut self, now: ClockTime) {
        tracing::info!(node = self.settings.node.name, "draining");
        self.draining = true;
        self.note_node(EventKind::ProcessStopping, self.node);
        let actions = self.membership.handle(GossipInput::LeaveStarted, now);
        self.do_gossip(actions, now);
        if let Some(seat) = &mut self.member {
            let actions = seat.handle(CoreInput::TransferLeadership, now);
            self.do_core(actions, now);
        }
    }

    /// Ends what the thread has started.
    fn end(self, end: ThreadEnd) {
        let transport = match end {
            ThreadEnd::Stop => Some(self.transport),
            // Dropped without a farewell: its peers find out by its silence.
            ThreadEnd::Crash => {
                drop(self.transport);
                None
            }
        };
        if let Some(worker) = self.orders {
            worker.join();
        }
        if let Some(seat) = self.member {
            seat.disk.join();
        }
        if let Some(transport) = transport {
            transport.shutdown();
        }
    }

    /// A random number that nobody foresees.
    pub(crate) fn draw(&mut self) -> u64 {
        self.random.next_u64()
    }

    /// The random numbers of a process.
    pub(crate) fn seeded(seed: u64) -> Pcg64 {
        Pcg64::seed_from_u64(seed)
    }
}

/// Sends a reply to a traffic thread; a caller that left meanwhile needs none.
pub(crate) fn reply_to<T>(reply: &flume::Sender<T>, answer: T) {
    if reply.try_send(answer).is_err() {
        tracing::debug!("a caller left before its reply");
    }
}
