use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    RequestRank,
    admission_ratio::AdmissionRatio, //
};

/// A request that waits at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);

/// A request that comes to a gate.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Urgency.
    pub rank: RequestRank,
    /// Whether its caller has waited elsewhere for longer than the aim.
    pub is_late: bool,
    /// How long it can wait and still be served within its aim.
    pub queue_timeout: Duration,
}

/// What a gate says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It goes on to an endpoint, and is counted until [`AdmissionGate::leave`].
    Admitted,
    /// It waits until the gate calls its ticket, or its queue timeout ends.
    Queued(QueueTicket),
}

/// Part of a route's aim for which a request waits at a gate.
///
/// Engines with all places taken begin within half of an aim for most requests; what waits longer at
/// the gate would be late.
const QUEUE_TIME_DIVISOR: u32 = 3;

/// How long a request of a route with this aim may wait at a gate.
pub fn max_queue_time(target: Duration, time_left: Duration) -> Duration {
    target.min(time_left) / QUEUE_TIME_DIVISOR
}

/// Part of what the next more urgent rank is granted that each rank is granted at least.
///
/// Urgent requests go first, but none starves: users see a kind of request that is never answered
/// as broken, however unimportant it is. Two fifths keep a third rank above a seventh of the first.
const RANK_FLOOR_RATIO: f64 = 0.4;

/// Weight of one more second in the completion_rate at which requests end.
const RATE_WEIGHT: f64 = 0.5;

/// Time over which the completion_rate is counted before it is averaged.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Decides which requests of one service go on, wait for a moment, or are refused at one edge.
///
/// Below the limit nothing waits. At the limit a request waits only as long as it can still be
/// served within its aim, and only behind as many as leave in that time; everything else is told at
/// once to come back. The more urgent rank goes first. Holds no clock and no network.
#[derive(Debug)]
pub struct AdmissionGate {
    /// Requests that may be under way.
    limit: f64,
    /// Requests that were admitted and are not over.
    in_flight: u32,
    /// Requests that wait, by rank and in the order in which they came.
    ///
    /// Invariant: no queue is empty.
    waiting: BTreeMap<QueueRank, BTreeMap<QueueTicket, QueuedRequest>>,
    shares: BTreeMap<QueueRank, AdmissionRatio>,
    next_ticket: u64,
    /// Requests that completed since the completion_rate was averaged last.
    completed: u32,
    rate_updated_at: ClockTime,
    /// Requests that end in a second.
    completion_rate: f64,
    /// When the gate began to refuse, if it has refused lately.
    shedding: Option<SheddingPeriod>,
}

/// Whose turn it is; the least goes first.
///
/// Of requests with the same urgency, those that can be answered within their aim go before those
/// that are late already: in a long overload every caller is refused once, and if all were served in
/// the order in which they came first, all would be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    rank: RequestRank,
    is_late: bool,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    /// When it is of no use any more.
    until: ClockTime,
    queue_timeout: Duration,
}

/// A time during which requests were refused.
#[derive(Clone, Copy, Debug)]
struct SheddingPeriod {
    since: ClockTime,
    last: ClockTime,
}

/// Time without a refusal after which load shedding is over.
const SHEDDING_GAP: Duration = Duration::from_secs(1);

impl AdmissionGate {
    /// A gate without a limit.
    pub fn new(now: ClockTime) -> Self {
        Self {
            limit: f64::INFINITY,
            in_flight: 0,
            waiting: BTreeMap::new(),
            shares: BTreeMap::new(),
            next_ticket: 0,
            completed: 0,
            rate_updated_at: now,
            completion_rate: 0.0,
            shedding: None,
        }
    }

    /// Takes how many requests may be under way.
    pub fn set_limit(&mut self, limit: f64, now: ClockTime) {
        self.limit = limit;
        self.update_completion_rate(now);
    }

    /// Takes a request; whether it waits in vain is told by [`AdmissionGate::take_displaced`].
    pub fn offer(&mut self, offer: AdmissionRequest, now: ClockTime) -> AdmissionDecision {
        let AdmissionRequest {
            rank,
            is_late,
            queue_timeout,
        } = offer;
        let rank = QueueRank { rank, is_late };
        let share = self.shares.entry(rank);
        share.or_insert_with(|| AdmissionRatio::new(now)).offer(now);
        if self.waiting.is_empty() && self.has_room() {
            self.admit(rank, now);
            return AdmissionDecision::Admitted;
        }
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        let entry = QueuedRequest {
            until: now.after(queue_timeout),
            queue_timeout,
        };
        self.waiting.entry(rank).or_default().insert(ticket, entry);
        AdmissionDecision::Queued(ticket)
    }

    /// An admitted request is over.
    pub fn release(&mut self, now: ClockTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.completed += 1;
        self.update_completion_rate(now);
    }

    /// The next request that goes on, if there is room for one.
    pub fn admit_next(&mut self, now: ClockTime) -> Option<QueueTicket> {
        if !self.has_room() {
            return None;
        }
        let rank = self.next_rank()?;
        let queue = self.waiting.get(&rank)?;
        let (&ticket, _) = queue.first_key_value()?;
        self.remove(ticket);
        self.admit(rank, now);
        Some(ticket)
    }

    /// A request that waits in vain: too many go before it, or its time is over.
    pub fn shed_next(&mut self, now: ClockTime) -> Option<QueueTicket> {
        let all = self.waiting.values().flatten();
        let late = all.filter(|(_, entry)| now >= entry.until);
        let late = late.map(|(&ticket, _)| ticket).next();
        let displaced = late.or_else(|| self.last_hopeless())?;
        self.remove(displaced);
        self.note_refusal(now);
        Some(displaced)
    }

    /// A request has stopped waiting by itself.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        self.remove(ticket);
    }

    /// How long requests have been refused, up to the last one; nothing if none was lately.
    pub fn shedding_duration(&self, now: ClockTime) -> Duration {
        let shedding = self.shedding.filter(|_| self.is_shedding(now));
        shedding.map_or(Duration::ZERO, |shedding| now.since(shedding.since))
    }

    /// Whether a request was refused lately.
    pub fn is_shedding(&self, now: ClockTime) -> bool {
        let shedding = self.shedding;
        shedding.is_some_and(|shedding| now.since(shedding.last) < SHEDDING_GAP)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.values().map(BTreeMap::len).sum()
    }

    /// Requests that were admitted and are not over.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that may be under way.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    fn admit(&mut self, rank: QueueRank, now: ClockTime) {
        self.in_flight += 1;
        if let Some(share) = self.shares.get_mut(&rank) {
            share.admit(now);
        }
    }

    fn remove(&mut self, ticket: QueueTicket) {
        for queue in self.waiting.values_mut() {
            queue.remove(&ticket);
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
    }

    /// The rank whose turn it is: the most urgent one, unless another is below its floor.
    fn next_rank(&self) -> Option<QueueRank> {
        let ranks: Vec<QueueRank> = self.waiting.keys().copied().collect();
        let starved = ranks.iter().find(|&&rank| self.is_below_floor(rank));
        starved.or(ranks.first()).copied()
    }

    /// The rank that is refused first: the least urgent one.
    ///
    /// One request of a rank below its floor stays, so that it is there when its turn comes.
    fn shed_rank(&self) -> Option<QueueRank> {
        let is_spared = |turn: QueueRank, queue: &BTreeMap<QueueTicket, QueuedRequest>| {
            queue.len() == 1 && self.is_below_floor(turn)
        };
        let mut ranks = self.waiting.iter().rev();
        let refused = ranks.find(|&(&turn, queue)| !is_spared(turn, queue));
        let last = self.waiting.last_key_value();
        refused.or(last).map(|(&turn, _)| turn)
    }

    fn is_below_floor(&self, turn: QueueRank) -> bool {
        let Some(share) = self.shares.get(&turn).filter(|_| !turn.is_late) else {
            return false;
        };
        let more_urgent = self.shares.range(..turn);
        let more_urgent = more_urgent.rev().find(|(turn, _)| !turn.is_late);
        more_urgent.is_some_and(|(_, urgent)| share.ratio() < urgent.ratio() * RANK_FLOOR_RATIO)
    }

    /// The request that would be served last, if it would be so only after its queue timeout.
    ///
    /// At least one may wait: at an edge with few requests, the completion_rate is a guess.
    fn last_hopeless(&self) -> Option<QueueTicket> {
        let rank = self.shed_rank()?;
        let (&ticket, entry) = self.waiting.get(&rank)?.last_key_value()?;
        let in_time = self.completion_rate * entry.queue_timeout.as_secs_f64();
        let most = in_time.max(1.0);
        (self.waiting() as f64 > most).then_some(ticket)
    }

    fn note_refusal(&mut self, now: ClockTime) {
        let begun = self.shedding;
        let begun = begun.filter(|shedding| now.since(shedding.last) < SHEDDING_GAP);
        self.shedding = Some(SheddingPeriod {
            since: begun.map_or(now, |shedding| shedding.since),
            last: now,
        });
    }

    fn update_completion_rate(&mut self, now: ClockTime) {
        let elapsed = now.since(self.rate_updated_at);
        if elapsed < RATE_WINDOW {
            return;
        }
        let present = f64::from(self.completed) / elapsed.as_secs_f64();
        self.completion_rate += (present - self.completion_rate) * RATE_WEIGHT;
        self.completed = 0;
        self.rate_updated_at = now;
    }
}
