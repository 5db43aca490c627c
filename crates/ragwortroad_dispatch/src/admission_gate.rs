use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    FullRank,
    rank_share::RankShare, //
};

/// A request that waits at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(pub u64);

/// A request that comes to a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateOffer {
    /// Urgency.
    pub rank: FullRank,
    /// Whether its caller has waited elsewhere for longer than the aim.
    pub is_late: bool,
    /// How long it can wait and still be served within its aim.
    pub patience: Duration,
}

/// What a gate says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAnswer {
    /// It goes on to an endpoint, and is counted until [`AdmissionGate::leave`].
    Admitted,
    /// It waits until the gate calls its ticket, or its patience ends.
    Waiting(WaitTicket),
}

/// Part of a route's aim for which a request waits at a gate.
///
/// Engines with all places taken begin within half of an aim for most requests; what waits longer at
/// the gate would be late.
const WAIT_PART: u32 = 3;

/// How long a request of a route with this aim may wait at a gate.
pub fn gate_patience(target: Duration, time_left: Duration) -> Duration {
    target.min(time_left) / WAIT_PART
}

/// Part of what the next more urgent rank is granted that each rank is granted at least.
///
/// Urgent requests go first, but none starves: users see a kind of request that is never answered
/// as broken, however unimportant it is. Two fifths keep a third rank above a seventh of the first.
const RANK_FLOOR: f64 = 0.4;

/// Weight of one more second in the pace at which requests end.
const PACE_WEIGHT: f64 = 0.5;

/// Time over which the pace is counted before it is averaged.
const PACE_TIME: Duration = Duration::from_millis(500);

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
    under_way: u32,
    /// Requests that wait, by rank and in the order in which they came.
    ///
    /// Invariant: no queue is empty.
    waiting: BTreeMap<TurnRank, BTreeMap<WaitTicket, WaitEntry>>,
    shares: BTreeMap<TurnRank, RankShare>,
    next_ticket: u64,
    /// Requests that ended since the pace was averaged last.
    ended: u32,
    paced_at: ClockTime,
    /// Requests that end in a second.
    pace: f64,
    /// When the gate began to refuse, if it has refused lately.
    shedding: Option<SheddingTime>,
}

/// Whose turn it is; the least goes first.
///
/// Of requests with the same urgency, those that can be answered within their aim go before those
/// that are late already: in a long overload every caller is refused once, and if all were served in
/// the order in which they came first, all would be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TurnRank {
    rank: FullRank,
    is_late: bool,
}

#[derive(Clone, Copy, Debug)]
struct WaitEntry {
    /// When it is of no use any more.
    until: ClockTime,
    patience: Duration,
}

/// A time during which requests were refused.
#[derive(Clone, Copy, Debug)]
struct SheddingTime {
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
            under_way: 0,
            waiting: BTreeMap::new(),
            shares: BTreeMap::new(),
            next_ticket: 0,
            ended: 0,
            paced_at: now,
            pace: 0.0,
            shedding: None,
        }
    }

    /// Takes how many requests may be under way.
    pub fn set_limit(&mut self, limit: f64, now: ClockTime) {
        self.limit = limit;
        self.average_pace(now);
    }

    /// Takes a request; whether it waits in vain is told by [`AdmissionGate::take_displaced`].
    pub fn offer(&mut self, offer: GateOffer, now: ClockTime) -> GateAnswer {
        let GateOffer {
            rank,
            is_late,
            patience,
        } = offer;
        let rank = TurnRank { rank, is_late };
        let share = self.shares.entry(rank);
        share.or_insert_with(|| RankShare::new(now)).offer(now);
        if self.waiting.is_empty() && self.has_room() {
            self.admit(rank, now);
            return GateAnswer::Admitted;
        }
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        let entry = WaitEntry {
            until: now.after(patience),
            patience,
        };
        self.waiting.entry(rank).or_default().insert(ticket, entry);
        GateAnswer::Waiting(ticket)
    }

    /// An admitted request is over.
    pub fn leave(&mut self, now: ClockTime) {
        self.under_way = self.under_way.saturating_sub(1);
        self.ended += 1;
        self.average_pace(now);
    }

    /// The next request that goes on, if there is room for one.
    pub fn call_next(&mut self, now: ClockTime) -> Option<WaitTicket> {
        if !self.has_room() {
            return None;
        }
        let rank = self.rank_first()?;
        let queue = self.waiting.get(&rank)?;
        let (&ticket, _) = queue.first_key_value()?;
        self.remove(ticket);
        self.admit(rank, now);
        Some(ticket)
    }

    /// A request that waits in vain: too many go before it, or its time is over.
    pub fn take_displaced(&mut self, now: ClockTime) -> Option<WaitTicket> {
        let all = self.waiting.values().flatten();
        let late = all.filter(|(_, entry)| now >= entry.until);
        let late = late.map(|(&ticket, _)| ticket).next();
        let displaced = late.or_else(|| self.last_in_vain())?;
        self.remove(displaced);
        self.note_refusal(now);
        Some(displaced)
    }

    /// A request has stopped waiting by itself.
    pub fn give_up(&mut self, ticket: WaitTicket) {
        self.remove(ticket);
    }

    /// How long requests have been refused, up to the last one; nothing if none was lately.
    pub fn shedding_for(&self, now: ClockTime) -> Duration {
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
    pub fn under_way(&self) -> u32 {
        self.under_way
    }

    /// Requests that may be under way.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    fn has_room(&self) -> bool {
        f64::from(self.under_way) < self.limit
    }

    fn admit(&mut self, rank: TurnRank, now: ClockTime) {
        self.under_way += 1;
        if let Some(share) = self.shares.get_mut(&rank) {
            share.admit(now);
        }
    }

    fn remove(&mut self, ticket: WaitTicket) {
        for queue in self.waiting.values_mut() {
            queue.remove(&ticket);
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
    }

    /// The rank whose turn it is: the most urgent one, unless another is below its floor.
    fn rank_first(&self) -> Option<TurnRank> {
        let ranks: Vec<TurnRank> = self.waiting.keys().copied().collect();
        let starved = ranks.iter().find(|&&rank| self.is_below_floor(rank));
        starved.or(ranks.first()).copied()
    }

    /// The rank that is refused first: the least urgent one.
    ///
    /// One request of a rank below its floor stays, so that it is there when its turn comes.
    fn rank_last(&self) -> Option<TurnRank> {
        let is_spared = |turn: TurnRank, queue: &BTreeMap<WaitTicket, WaitEntry>| {
            queue.len() == 1 && self.is_below_floor(turn)
        };
        let mut ranks = self.waiting.iter().rev();
        let refused = ranks.find(|&(&turn, queue)| !is_spared(turn, queue));
        let last = self.waiting.last_key_value();
        refused.or(last).map(|(&turn, _)| turn)
    }

    fn is_below_floor(&self, turn: TurnRank) -> bool {
        let Some(share) = self.shares.get(&turn).filter(|_| !turn.is_late) else {
            return false;
        };
        let more_urgent = self.shares.range(..turn);
        let more_urgent = more_urgent.rev().find(|(turn, _)| !turn.is_late);
        more_urgent.is_some_and(|(_, urgent)| share.ratio() < urgent.ratio() * RANK_FLOOR)
    }

    /// The request that would be served last, if it would be so only after its patience.
    ///
    /// At least one may wait: at an edge with few requests, the pace is a guess.
    fn last_in_vain(&self) -> Option<WaitTicket> {
        let rank = self.rank_last()?;
        let (&ticket, entry) = self.waiting.get(&rank)?.last_key_value()?;
        let in_time = self.pace * entry.patience.as_secs_f64();
        let most = in_time.max(1.0);
        (self.waiting() as f64 > most).then_some(ticket)
    }

    fn note_refusal(&mut self, now: ClockTime) {
        let begun = self.shedding;
        let begun = begun.filter(|shedding| now.since(shedding.last) < SHEDDING_GAP);
        self.shedding = Some(SheddingTime {
            since: begun.map_or(now, |shedding| shedding.since),
            last: now,
        });
    }

    fn average_pace(&mut self, now: ClockTime) {
        let elapsed = now.since(self.paced_at);
        if elapsed < PACE_TIME {
            return;
        }
        let present = f64::from(self.ended) / elapsed.as_secs_f64();
        self.pace += (present - self.pace) * PACE_WEIGHT;
        self.ended = 0;
        self.paced_at = now;
    }
}
