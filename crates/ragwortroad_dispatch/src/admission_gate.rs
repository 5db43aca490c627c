use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    CustomerLoad,
    CustomerShares,
    CustomerStanding,
    CustomerTag,
    RequestRank,
    RequestWork,
    ServiceTag,
    admission_ratio::AdmissionRatio,
    customer_use::CustomerUse,
    fair_queue::{
        FairQueue,
        QueuedRequest, //
    },
    queue_ticket::QueueTicket, //
};

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Priority; the lowest value is served first.
    pub rank: RequestRank,
    /// Whether the client has already spent its latency target waiting elsewhere.
    pub is_late: bool,
    /// Longest time in the queue after which the request can still meet its latency target.
    pub queue_timeout: Duration,
    /// Customer who sent the request; `None` if unidentified.
    pub customer: Option<CustomerTag>,
    /// What the request is expected to take.
    pub work: RequestWork,
}

/// Outcome of [`AdmissionGate::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request proceeds to an endpoint. It is counted until [`AdmissionGate::release`].
    Admitted,
    /// The request is queued until [`AdmissionGate::admit_next`] or [`AdmissionGate::shed_next`]
    /// returns its ticket, or the client cancels it.
    Queued(QueueTicket),
}

/// Divisor of a route's latency target that gives the longest time in the queue.
///
/// Engines with all slots busy start most requests within half of the latency target; a request
/// that queues longer at the gate would miss it.
const QUEUE_TIME_DIVISOR: u32 = 3;

/// Returns how long a request may be queued, given its route's latency target and the time left
/// until its deadline.
pub fn max_queue_time(target: Duration, time_left: Duration) -> Duration {
    target.min(time_left) / QUEUE_TIME_DIVISOR
}

/// Returns the work by which a request is charged to its customer: seconds of a slot, or one if they
/// are unknown.
fn work_units(work: RequestWork) -> f64 {
    match work.slot_time.is_zero() {
        true => 1.0,
        false => work.slot_time.as_secs_f64(),
    }
}

/// Smallest admission ratio of a rank, relative to that of the next more urgent rank.
///
/// Prevents starvation: to users, a kind of request that is never served looks broken, however
/// unimportant it is. At 0.4 the third rank stays above a seventh of the first.
const RANK_FLOOR_RATIO: f64 = 0.4;

/// Weight of the newest sample in the moving average of the completion rate.
const RATE_WEIGHT: f64 = 0.5;

/// Shortest time over which completions are counted for one sample of the rate.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Admission control of one edge for the requests of one service.
///
/// Below the concurrency limit all requests are admitted. At the limit, a request is queued only
/// while it can still meet its latency target, and only behind as many requests as complete in that
/// time; all others are shed at once and told when to retry. More urgent ranks are served first.
///
/// Within a rank, the customer with the least recent use relative to its scale is served first, and
/// the one with the most, its queued requests included, is shed first. That answers a customer that
/// sends many times its usual load: it is refused itself, and not the others.
#[derive(Debug)]
pub struct AdmissionGate {
    /// Largest number of requests in flight.
    limit: f64,
    in_flight: u32,
    /// Queued requests by rank.
    ///
    /// Invariant: no queue is empty.
    waiting: BTreeMap<QueueRank, FairQueue>,
    /// Where each queued request is.
    ///
    /// Invariant: has the tickets in `waiting`.
    places: BTreeMap<QueueTicket, (QueueRank, Option<CustomerTag>)>,
    /// Uses of the customers with recent requests; unidentified ones count as one customer.
    uses: BTreeMap<Option<CustomerTag>, CustomerUse>,
    /// Scales of customers' uses; 1 for all others.
    ///
    /// Invariant: all are positive.
    scales: BTreeMap<CustomerTag, f64>,
    /// Shares of customers in the fleet; `None` if unknown.
    shares: Option<CustomerShares>,
    admission_ratios: BTreeMap<QueueRank, AdmissionRatio>,
    next_ticket: u64,
    /// Requests completed since the completion rate was last updated.
    completed: u32,
    rate_updated_at: ClockTime,
    /// Completed requests per second, as a moving average.
    completion_rate: f64,
    /// The current load shedding period; kept after it has ended.
    shedding: Option<SheddingPeriod>,
}

/// Position in the order of service; the lowest value is first.
///
/// Among requests of equal priority, those that can still meet their latency target precede those
/// that cannot: in a long overload every client is rejected once, and serving all in the order of
/// their first attempt would make all of them late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    rank: RequestRank,
    is_late: bool,
}

/// A period in which requests were shed.
#[derive(Clone, Copy, Debug)]
struct SheddingPeriod {
    since: ClockTime,
    last: ClockTime,
}

/// Time without a shed request after which load shedding counts as over.
const SHEDDING_GAP: Duration = Duration::from_secs(1);

impl AdmissionGate {
    /// Creates a gate without a limit.
    pub fn new(now: ClockTime) -> Self {
        Self {
            limit: f64::INFINITY,
            in_flight: 0,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            uses: BTreeMap::new(),
            scales: BTreeMap::new(),
            shares: None,
            admission_ratios: BTreeMap::new(),
            next_ticket: 0,
            completed: 0,
            rate_updated_at: now,
            completion_rate: 0.0,
            shedding: None,
        }
    }

    /// Sets the largest number of requests in flight.
    pub fn set_limit(&mut self, limit: f64, now: ClockTime) {
        self.limit = limit;
        self.update_completion_rate(now);
    }

    /// Sets by how much more a customer may use than one whose scale is 1, the scale of all that are
    /// not listed.
    ///
    /// The scale is the customer's weight, times its part of the requests at this edge relative to
    /// the other edges' if the fleet's sums are known.
    pub fn set_scales(&mut self, scales: BTreeMap<CustomerTag, f64>) {
        self.scales = scales;
        self.scales.retain(|_, scale| *scale > 0.0);
    }

    /// Sets the shares of customers in the fleet; `None` if they are unknown or the endpoints must not
    /// get more requests than the limit.
    ///
    /// Requests within their customers' shares are admitted above the limit too. Else they would wait
    /// for their turn at each edge whose slots another customer holds, and few slots become free
    /// within a queue timeout. The sums of the fleet then lower the limits.
    pub fn set_shares(&mut self, shares: Option<CustomerShares>) {
        self.shares = shares;
    }

    /// Returns the shares of customers in the fleet; `None` if they are unknown or there is room for
    /// all.
    pub fn shares(&self) -> Option<&CustomerShares> {
        self.shares.as_ref()
    }

    /// Admits or queues a request. The caller then has to reject those that
    /// [`AdmissionGate::shed_next`] returns.
    pub fn offer(&mut self, request: AdmissionRequest, now: ClockTime) -> AdmissionDecision {
        let AdmissionRequest {
            rank,
            is_late,
            queue_timeout,
            customer,
            work,
        } = request;
        let work = work_units(work);
        let rank = QueueRank { rank, is_late };
        let ratio = self.admission_ratios.entry(rank);
        ratio.or_insert_with(|| AdmissionRatio::new(now)).offer(now);
        if self.waiting.is_empty() && self.has_capacity() {
            self.admit(rank, customer, work, now);
            return AdmissionDecision::Admitted;
        }
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        let entry = QueuedRequest {
            until: now.after(queue_timeout),
            queue_timeout,
            work,
        };
        let queue = self.waiting.entry(rank).or_default();
        queue.insert(customer, ticket, entry);
        self.places.insert(ticket, (rank, customer));
        AdmissionDecision::Queued(ticket)
    }

    /// Records that an admitted request of an unidentified customer has completed, whatever its
    /// outcome.
    pub fn release(&mut self, now: ClockTime) {
        self.release_for(None, now);
    }

    /// Records that an admitted request of a customer has completed, whatever its outcome.
    pub fn release_for(&mut self, customer: Option<CustomerTag>, now: ClockTime) {
        if let Some(known) = self.uses.get_mut(&customer) {
            known.running = known.running.saturating_sub(1);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.completed += 1;
        self.update_completion_rate(now);
    }

    /// Admits the next queued request, or returns `None` if there is none to admit.
    pub fn admit_next(&mut self, now: ClockTime) -> Option<QueueTicket> {
        let (rank, ticket) = match self.has_capacity() {
            true => self.next_in_limit(now)?,
            false => self.next_in_share(now)?,
        };
        let (customer, request) = self.remove(ticket)?;
        self.admit(rank, customer, request.work, now);
        Some(ticket)
    }

    /// Removes a request that cannot be served in time, because its timeout has expired or too many
    /// requests precede it. Returns `None` if there is none.
    pub fn shed_next(&mut self, now: ClockTime) -> Option<QueueTicket> {
        let mut all = self.waiting.values().flat_map(FairQueue::requests);
        let expired = all.find(|(_, entry)| now >= entry.until);
        let expired = expired.map(|(ticket, _)| ticket);
        drop(all);
        let shed = expired.or_else(|| self.last_unservable(now))?;
        let is_late = self.places.get(&shed).is_some_and(|(rank, _)| rank.is_late);
        let (customer, request) = self.remove(shed)?;
        // A late request was shed before and counted then; a customer that repeats its requests
        // does not want more.
        if !is_late {
            let known = self.uses.entry(customer);
            known
                .or_insert_with(|| CustomerUse::new(now))
                .shed(request.work, now);
        }
        self.note_shed(now);
        Some(shed)
    }

    /// Removes a queued request whose client has left.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        self.remove(ticket);
    }

    /// Returns how long load shedding has lasted, or zero if it is over.
    pub fn shedding_duration(&self, now: ClockTime) -> Duration {
        let shedding = self.shedding.filter(|_| self.is_shedding(now));
        shedding.map_or(Duration::ZERO, |shedding| now.since(shedding.since))
    }

    /// Returns whether a request was shed within the last second.
    pub fn is_shedding(&self, now: ClockTime) -> bool {
        let shedding = self.shedding;
        shedding.is_some_and(|shedding| now.since(shedding.last) < SHEDDING_GAP)
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Returns what each customer with recent requests runs and wants, in slots.
    ///
    /// Work that was shed counts as much as admitted work does.
    pub fn customer_loads(&mut self, service: ServiceTag, now: ClockTime) -> Vec<CustomerLoad> {
        let slots_per_work = self.slots_per_work(now);
        let uses = self.uses.iter_mut();
        let loads = uses.filter_map(|(customer, known)| {
            let shed = known.shed_work(now) * slots_per_work;
            Some(CustomerLoad {
                service,
                customer: (*customer)?,
                running: known.running,
                wanted: known.running + known.whole_slots(shed),
            })
        });
        loads.filter(|load| load.wanted > 0).collect()
    }

    /// Returns the slots that each customer with recent requests would use if there were room, as a
    /// mean over the last second.
    pub fn customer_demands(&self, now: ClockTime) -> BTreeMap<CustomerTag, f64> {
        let slots_per_work = self.slots_per_work(now);
        let uses = self.uses.iter();
        let demands = uses.filter_map(|(customer, known)| {
            let work = known.work(now) + known.shed_work(now);
            Some(((*customer)?, work * slots_per_work))
        });
        demands.collect()
    }

    /// Returns what is known of a customer.
    pub fn customer_standing(&self, customer: CustomerTag, now: ClockTime) -> CustomerStanding {
        let known = self.uses.keys().copied();
        let relative_uses = known.map(|known| (known, self.relative_use(known, 0.0, now)));
        let relative_uses: Vec<(Option<CustomerTag>, f64)> = relative_uses.collect();
        let sum: f64 = relative_uses.iter().map(|(_, relative)| relative).sum();
        let mean = (sum / relative_uses.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let largest = relative_uses
            .iter()
            .max_by(|left, right| left.1.total_cmp(&right.1));
        CustomerStanding {
            running: self.running(customer),
            wanted: self.wanted(customer, now),
            relative_use: self.relative_use(Some(customer), 0.0, now) / mean,
            largest: largest.and_then(|(largest, _)| *largest),
            largest_use: largest.map_or(0.0, |(_, relative)| relative / mean),
        }
    }

    /// Forgets customers without recent requests; to be called several times per second.
    pub fn expire_customers(&mut self, now: ClockTime) {
        self.uses.retain(|_, known| !known.is_negligible(now));
    }

    fn running(&self, customer: CustomerTag) -> u32 {
        let known = self.uses.get(&Some(customer));
        known.map_or(0, |known| known.running)
    }

    /// Slots that a customer would use if there were room.
    ///
    /// Queued requests do not count. Each takes a slot a moment later or is shed, so they would count
    /// twice, and a customer that waits now and then would seem to want more than its share.
    fn wanted(&self, customer: CustomerTag, now: ClockTime) -> u32 {
        let known = self.uses.get(&Some(customer));
        let shed = known.map_or(0.0, |known| known.shed_work(now)) * self.slots_per_work(now);
        self.running(customer) + shed.round() as u32
    }

    /// Slots in use for each unit of recently admitted work.
    fn slots_per_work(&self, now: ClockTime) -> f64 {
        let work: f64 = self.uses.values().map(|known| known.work(now)).sum();
        f64::from(self.in_flight) / work.max(f64::MIN_POSITIVE)
    }

    /// Returns a customer's recent use relative to its scale, if it used `work` more.
    fn relative_use(&self, customer: Option<CustomerTag>, work: f64, now: ClockTime) -> f64 {
        let known = self.uses.get(&customer);
        let before = known.map_or(0.0, |known| known.work(now));
        let scale = customer.and_then(|customer| self.scales.get(&customer));
        (before + work) / scale.unwrap_or(&1.0)
    }

    /// Returns the number of requests admitted and not yet released.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the largest number of requests in flight; infinite if none was set.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    fn admit(&mut self, rank: QueueRank, customer: Option<CustomerTag>, work: f64, now: ClockTime) {
        self.in_flight += 1;
        let known = self.uses.entry(customer);
        known
            .or_insert_with(|| CustomerUse::new(now))
            .admit(work, now);
        if let Some(ratio) = self.admission_ratios.get_mut(&rank) {
            ratio.admit(now);
        }
    }

    fn remove(&mut self, ticket: QueueTicket) -> Option<(Option<CustomerTag>, QueuedRequest)> {
        let (rank, customer) = self.places.remove(&ticket)?;
        let queue = self.waiting.get_mut(&rank)?;
        let removed = queue.remove(customer, ticket)?;
        if queue.is_empty() {
            self.waiting.remove(&rank);
        }
        Some((customer, removed))
    }

    /// Returns the request that is admitted next while there is capacity.
    fn next_in_limit(&self, now: ClockTime) -> Option<(QueueRank, QueueTicket)> {
        let rank = self.next_rank()?;
        let relative_use = |customer, work| self.relative_use(customer, work, now);
        let ticket = self.waiting.get(&rank)?.first(|_| true, relative_use)?;
        Some((rank, ticket))
    }

    /// Returns the request that is admitted next above the limit: the most urgent one of a customer
    /// within its share.
    fn next_in_share(&self, now: ClockTime) -> Option<(QueueRank, QueueTicket)> {
        let shares = self.shares.as_ref()?;
        if f64::from(self.in_flight) >= shares.burst_limit {
            return None;
        }
        let is_served = |customer: Option<CustomerTag>| {
            customer.is_some_and(|customer| shares.allows(customer, self.running(customer)))
        };
        let mut ranks = self.waiting.iter();
        ranks.find_map(|(&rank, queue)| {
            let relative_use = |customer, work| self.relative_use(customer, work, now);
            Some((rank, queue.first(is_served, relative_use)?))
        })
    }

    /// Returns the most urgent rank, or another one that is below its admission floor.
    fn next_rank(&self) -> Option<QueueRank> {
        let ranks: Vec<QueueRank> = self.waiting.keys().copied().collect();
        let below_floor = ranks.iter().find(|&&rank| self.is_below_floor(rank));
        below_floor.or(ranks.first()).copied()
    }

    /// Returns the rank to shed from: the least urgent one.
    ///
    /// The last request of a rank below its floor stays queued, so that it can be admitted at the
    /// rank's turn.
    fn shed_rank(&self) -> Option<QueueRank> {
        let is_kept = |queue_rank: QueueRank, queue: &FairQueue| {
            queue.len() == 1 && self.is_below_floor(queue_rank)
        };
        let mut ranks = self.waiting.iter().rev();
        let refused = ranks.find(|&(&queue_rank, queue)| !is_kept(queue_rank, queue));
        let last = self.waiting.last_key_value();
        refused.or(last).map(|(&queue_rank, _)| queue_rank)
    }

    fn is_below_floor(&self, queue_rank: QueueRank) -> bool {
        let Some(ratio) = self
            .admission_ratios
            .get(&queue_rank)
            .filter(|_| !queue_rank.is_late)
        else {
            return false;
        };
        let more_urgent = self.admission_ratios.range(..queue_rank);
        let more_urgent = more_urgent
            .rev()
            .find(|(queue_rank, _)| !queue_rank.is_late);
        more_urgent.is_some_and(|(_, urgent)| ratio.ratio() < urgent.ratio() * RANK_FLOOR_RATIO)
    }

    /// Returns the last request in the order of service if it would exceed its queue timeout.
    ///
    /// One request may always wait, because the completion rate of an edge with few requests is
    /// inaccurate.
    fn last_unservable(&self, now: ClockTime) -> Option<QueueTicket> {
        let queue = self.waiting.get(&self.shed_rank()?)?;
        let (ticket, entry) =
            queue.last(|customer, work| self.relative_use(customer, work, now))?;
        let completions = self.completion_rate * entry.queue_timeout.as_secs_f64();
        let capacity = completions.max(1.0);
        (self.waiting() as f64 > capacity).then_some(ticket)
    }

    fn note_shed(&mut self, now: ClockTime) {
        let current = self.shedding;
        let current = current.filter(|shedding| now.since(shedding.last) < SHEDDING_GAP);
        self.shedding = Some(SheddingPeriod {
            since: current.map_or(now, |shedding| shedding.since),
            last: now,
        });
    }

    /// Updates the completion rate if its window has passed; to be called several times per second.
    pub fn update_completion_rate(&mut self, now: ClockTime) {
        let elapsed = now.since(self.rate_updated_at);
        if elapsed < RATE_WINDOW {
            return;
        }
        let sample = f64::from(self.completed) / elapsed.as_secs_f64();
        self.completion_rate += (sample - self.completion_rate) * RATE_WEIGHT;
        self.completed = 0;
        self.rate_updated_at = now;
    }
}
