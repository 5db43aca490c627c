use std::{
    borrow::Cow,
    cmp::Ordering,
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    EndpointKey,
    EndpointTag,
    ReadyEndpoint, //
};

/// Parameters of the selection of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionSettings {
    /// Largest multiple of the mean load at which an engine that holds a request's prefix is
    /// selected.
    ///
    /// Lower values balance better, higher ones recompute fewer prefixes. Sites bound skew at 2
    /// times the mean plus three requests; the difference absorbs requests that other edges sent a
    /// moment ago.
    pub holder_load_multiple: f64,
    /// Largest multiple of the mean load at which an engine that does not hold the prefix is
    /// selected.
    ///
    /// Lower than the multiple for holders, so that new prefixes go to engines with spare capacity
    /// and stay there.
    pub load_multiple: f64,
    /// Requests allowed above those multiples: at a small mean, a single request is a large
    /// multiple of it.
    pub load_slack: f64,
    /// What a slow engine costs a request; `None` if speed decides nothing but ties of load.
    pub speed_trade: Option<SpeedTrade>,
}

/// What decides between a slow engine that holds a request's shared prefix and a quick one that
/// would have to read it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedTrade {
    /// Time for which a request runs at an engine of usual speed.
    pub run_time: Duration,
    /// Time that an engine takes to read the prefix.
    pub read_time: Duration,
}

impl SpeedTrade {
    /// Returns whether `holder` is better for a request than `other`, which does not hold the prefix
    /// and works faster.
    ///
    /// At the holder, the request runs longer. At the other engine, reading the prefix delays the
    /// request and all those that run beside it.
    fn prefers_holder(&self, holder: &SelectionCandidate, other: &SelectionCandidate) -> bool {
        // An engine that has been slow for a moment is likely to be quick again in another.
        let slow_time = self.run_time.min(holder.differed_for);
        let lost = slow_time.as_secs_f64() * (holder.time_factor - other.time_factor);
        let read = self.read_time.as_secs_f64() * other.time_factor;
        lost <= read * f64::from(other.load + 1)
    }
}

/// Multiple of the time at the quickest engine with room from which an engine counts as slow.
const SLOW_RATIO: f64 = 1.4;

/// Time for which an engine must have been slow before new prefixes go elsewhere: they stay there,
/// and all edges look for them at the same engine.
const MIN_SLOW_TIME: Duration = Duration::from_millis(300);

/// Share of the slots up to which engines at the mean load have room for the work of slow ones.
const ROOM_RATIO: f64 = 0.4;

/// Multiple of the shortest time up to which a replica is as good as the best.
const MAX_TIME_RATIO: f64 = 2.0;

/// Exponent by which the share of a replica falls with its time.
const TIME_EXPONENT: i32 = 3;

/// Ratio of the multiple for prefix holders to a site's bound on skew.
///
/// Edges learn of each other's requests some tenths of a second late, during which part of an
/// engine's requests change.
const HOLDER_LOAD_RATIO: f64 = 0.8;

impl SelectionSettings {
    /// Returns the parameters for a site that allows no engine more than `bound` times the mean
    /// load.
    pub fn within(bound: f64) -> Self {
        let default = Self::default();
        let holder_load_multiple = (bound * HOLDER_LOAD_RATIO).max(1.0);
        Self {
            holder_load_multiple,
            load_multiple: default.load_multiple.min(holder_load_multiple),
            ..default
        }
    }
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            holder_load_multiple: 1.6,
            load_multiple: 1.3,
            load_slack: 1.4,
            speed_trade: None,
        }
    }
}

/// An endpoint that may be selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCandidate {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Tag of the endpoint's name, which is the same at all edges.
    pub tag: EndpointTag,
    /// Estimated requests at the endpoint.
    pub load: u32,
    /// Requests that it processes concurrently; 0 if there is no known limit.
    pub slots: u32,
    /// Recent failure rate, from 0 to 1.
    pub failure_rate: f64,
    /// How long work takes there at this moment, as a multiple of the usual time.
    pub time_factor: f64,
    /// How long it has differed from its usual speed; as long as can be if it does so for good.
    pub differed_for: Duration,
    /// Whether it has the request's shared prefix in its cache.
    pub holds_prefix: bool,
}

impl SelectionCandidate {
    /// Returns an endpoint without requests and without failures that holds no prefix.
    pub fn idle(endpoint: &ReadyEndpoint) -> Self {
        Self {
            key: endpoint.key,
            tag: endpoint.tag,
            load: 0,
            slots: endpoint.slots,
            failure_rate: 0.0,
            time_factor: 1.0,
            differed_for: Duration::ZERO,
            holds_prefix: false,
        }
    }

    /// Returns whether the endpoint has a free slot, as far as this edge knows.
    ///
    /// Without one the request would queue there while other engines have free slots.
    pub fn has_free_slot(&self) -> bool {
        self.slots == 0 || self.load < self.slots
    }

    /// Time that another request would take there, compared with that at other candidates.
    fn expected_time(&self) -> f64 {
        f64::from(self.load + 1) * self.time_factor
    }
}

/// Properties of a request that its endpoint is selected by.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest {
    /// Key of the prompt prefix that it shares with other requests; `None` if it shares none.
    pub shared_prefix: Option<u64>,
    /// Random number between 0 and 1 for choices that nothing else determines.
    pub draw: f64,
}

/// Failure rate from which an endpoint counts as failing.
///
/// Services fail one request in seven for reasons of the request. With the weight of the moving
/// rate, a healthy endpoint stays below this threshold, and one that fails four in ten exceeds it
/// after eight requests.
pub(crate) const FAILING_THRESHOLD: f64 = 0.3;

/// Selects the engine for a request to a model.
///
/// Prefers engines that hold the request's shared prefix, unless their load is far above the mean.
/// Otherwise all edges rank the engines for a prefix in the same order, by a hash of prefix and
/// engine (rendezvous hashing), and the first one with spare capacity is selected. So a prefix is
/// computed by few engines, the same ones each time, and a prefix with too much traffic overflows
/// to the next engine in its order. This suits sites with many shared prefixes, a few of them very
/// busy, whose engines come and go.
///
/// Returns `None` if there are no candidates.
pub fn choose_engine(
    candidates: &[SelectionCandidate],
    request: SelectionRequest,
    settings: &SelectionSettings,
) -> Option<EndpointKey> {
    let mut healthy = healthy_candidates(candidates);
    let mean = mean_load(&healthy);
    let speed_trade = settings.speed_trade.filter(|_| has_room(&healthy, mean));
    if settings.speed_trade.is_some() && speed_trade.is_none() {
        for candidate in healthy.to_mut() {
            candidate.time_factor = 1.0;
        }
    }
    // The bound is a multiple of the mean over all engines, including those that get no requests
    // now.
    let highest = mean_load(candidates) * settings.holder_load_multiple;
    let prefix = request.shared_prefix.unwrap_or(request.draw.to_bits());
    let rank = |candidate: &SelectionCandidate| {
        let EndpointTag(tag) = candidate.tag;
        xxh3_64_with_seed(&tag.to_le_bytes(), prefix)
    };
    let is_below = |candidate: &SelectionCandidate, multiple: f64| {
        f64::from(candidate.load) <= (mean * multiple).min(highest) + settings.load_slack
    };
    let roomy = || {
        let free = healthy.iter();
        let free = free.filter(|candidate| candidate.has_free_slot());
        free.filter(|candidate| is_below(candidate, settings.load_multiple))
    };
    let times = roomy().map(|candidate| candidate.time_factor);
    let quickest = speed_trade.and(times.min_by(f64::total_cmp));
    let is_slow = |candidate: &SelectionCandidate| {
        let is_slower = |quickest| candidate.time_factor > quickest * SLOW_RATIO;
        candidate.differed_for >= MIN_SLOW_TIME && quickest.is_some_and(is_slower)
    };
    let first = || {
        let quick = roomy().filter(|candidate| !is_slow(candidate));
        quick.max_by_key(|candidate| rank(candidate))
    };
    let is_worth_keeping = |candidate: &SelectionCandidate| {
        let other = first().filter(|_| is_slow(candidate));
        let trade = speed_trade.zip(other);
        trade.is_none_or(|(trade, other)| {
            !other.holds_prefix && trade.prefers_holder(candidate, other)
        })
    };
    let holders = healthy.iter().filter(|candidate| candidate.holds_prefix);
    let open: Vec<_> = holders
        .filter(|candidate| candidate.has_free_slot())
        .filter(|candidate| is_below(candidate, settings.holder_load_multiple))
        .filter(|candidate| is_worth_keeping(candidate))
        .collect();
    let holder = less_loaded_of_two(&open, request.draw);
    let least = || {
        let within = healthy.iter();
        let within = within.filter(|candidate| is_below(candidate, settings.holder_load_multiple));
        let bounded = settings
            .speed_trade
            .and(within.min_by(|one, other| compare_times(one, other)));
        let all = || {
            healthy
                .iter()
                .min_by(|one, other| compare_times(one, other))
        };
        bounded.or_else(all)
    };
    let chosen = holder.or_else(first).or_else(least);
    chosen.map(|candidate| candidate.key)
}

/// Whether engines at the mean load have room for the work of slow ones.
///
/// Once they do not, the slots of slow engines are needed too. With equal numbers of requests, a slow
/// engine takes less work by itself, since each request occupies its slot for longer.
fn has_room(candidates: &[SelectionCandidate], mean: f64) -> bool {
    let slots = candidates.iter().map(|candidate| candidate.slots).min();
    slots.is_none_or(|slots| slots == 0 || mean <= f64::from(slots) * ROOM_RATIO)
}

fn mean_load(candidates: &[SelectionCandidate]) -> f64 {
    let total: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    f64::from(total) / candidates.len().max(1) as f64
}

/// Selects the less loaded of two random candidates.
///
/// Edges learn of each other's requests a quarter of a second late. If all selected the least
/// loaded holder of a busy prefix, it would be the most loaded by then; two random choices spread
/// the burst.
fn less_loaded_of_two<'a>(
    open: &[&'a SelectionCandidate],
    draw: f64,
) -> Option<&'a SelectionCandidate> {
    let count = open.len();
    let one = (draw * count as f64) as usize;
    let rest = (draw * count as f64).fract();
    let step = 1 + (rest * count.saturating_sub(1) as f64) as usize;
    let first = open.get(one)?;
    let second = open.get((one + step) % count)?;
    Some(match second.expected_time() < first.expected_time() {
        true => second,
        false => first,
    })
}

/// Selects the replica of a plain service with the fewest requests of this edge, at random among
/// equals.
///
/// Responses take some ten milliseconds there, so counts that other edges sent a quarter of a
/// second ago are of no use: all edges would select the replica that was least loaded then.
/// Replicas in the edge's own domain are not preferred, because a domain with a single replica
/// would overload it while others are idle.
///
/// Returns `None` if there are no candidates.
pub fn choose_replica(
    candidates: &[SelectionCandidate],
    request: SelectionRequest,
) -> Option<EndpointKey> {
    let healthy = healthy_candidates(candidates);
    let offset = (request.draw * healthy.len() as f64) as usize;
    let turned = healthy.iter().cycle().skip(offset).take(healthy.len());
    turned
        .min_by(|one, other| compare_times(one, other))
        .map(|candidate| candidate.key)
}

/// Selects the replica of a plain service at which another request would take the least time, at
/// random among those that are nearly as good, the better ones more often.
///
/// If all edges selected the quickest one, it would be the slowest by the time they notice.
///
/// Returns `None` if there are no candidates.
pub fn choose_replica_by_speed(
    candidates: &[SelectionCandidate],
    request: SelectionRequest,
) -> Option<EndpointKey> {
    let healthy = healthy_candidates(candidates);
    let times = healthy.iter().map(SelectionCandidate::expected_time);
    let shortest = times.min_by(f64::total_cmp)?;
    let near = healthy
        .iter()
        .map(|candidate| (candidate.key, candidate.expected_time() / shortest))
        .filter(|(_, ratio)| *ratio < MAX_TIME_RATIO);
    let weights = near.map(|(key, ratio)| (key, ratio.powi(-TIME_EXPONENT)));
    let weights: Vec<_> = weights.collect();
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut left = request.draw * total;
    let drawn = weights.iter().find(|(_, weight)| {
        left -= weight;
        left < 0.0
    });
    drawn.or(weights.last()).map(|(key, _)| *key)
}

fn compare_times(one: &SelectionCandidate, other: &SelectionCandidate) -> Ordering {
    one.expected_time().total_cmp(&other.expected_time())
}

/// Returns the candidates that are not failing, or all of them if most are.
fn healthy_candidates(candidates: &[SelectionCandidate]) -> Cow<'_, [SelectionCandidate]> {
    filter_healthy(candidates, |candidate| candidate.failure_rate)
}

/// Returns the items whose failure rate, given by `failing`, is below the threshold, or all of them
/// if most exceed it.
pub(crate) fn filter_healthy<T>(all: &[T], failing: impl Fn(&T) -> f64) -> Cow<'_, [T]>
where
    T: Copy,
{
    let is_healthy = |item: &&T| failing(item) < FAILING_THRESHOLD;
    let count = all.iter().filter(is_healthy).count();
    // If most endpoints of a service fail, the requests or the service as a whole are the cause,
    // and the few others would collapse under the whole load.
    if count == all.len() || count * 2 < all.len() {
        return Cow::Borrowed(all);
    }
    Cow::Owned(all.iter().filter(is_healthy).copied().collect())
}

/// Returns the key of the shared prefix of a prompt made of `parts`, of which all but the last are
/// shared; `None` if there are fewer than two.
pub fn shared_prefix_key(parts: &[u64]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    Some(*last)
}
