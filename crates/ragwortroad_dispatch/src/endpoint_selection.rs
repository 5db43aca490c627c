use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EndpointKey;

/// Figures of the choice of a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionSettings {
    /// An engine that has read a request's text takes it up to this multiple of the mean load.
    ///
    /// Lower spreads better, higher reads less text again. Sites bound skew at 2 and three more; the
    /// rest is room for what other edges sent a moment ago.
    pub holder_load_multiple: f64,
    /// An engine that has not read the text takes it up to this multiple.
    ///
    /// Below the other, so that new texts go where there is room and stay there.
    pub load_multiple: f64,
    /// Requests above those multiples which harm nobody: at small means one request more or less
    /// is a large multiple.
    pub load_slack: f64,
}

/// Part of a site's bound on skew up to which an engine takes requests for text that it holds.
///
/// Edges know of each other's requests some tenths of a second late, in which a part of an engine's
/// requests change.
const HOLD_PART: f64 = 0.8;

impl SelectionSettings {
    /// Figures for a site that lets no engine carry more than `bound` times the mean.
    pub fn within(bound: f64) -> Self {
        let default = Self::default();
        let holder_load_multiple = (bound * HOLD_PART).max(1.0);
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
        }
    }
}

/// An endpoint that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCandidate<'a> {
    /// Whom it stands for.
    pub key: EndpointKey,
    /// Its name, the same at all edges.
    pub name: &'a str,
    /// Requests that are there by the best knowledge here.
    pub load: u32,
    /// Requests it works on at once.
    pub slots: u32,
    /// Share of its requests that failed lately, from 0 to 1.
    pub failure_rate: f64,
    /// Whether it has read the request's shared text.
    pub holds_prefix: bool,
}

impl SelectionCandidate<'_> {
    /// Whether it starts on one more request at once, by the best knowledge here.
    ///
    /// Otherwise the request queues there behind strangers, while other engines have places free.
    fn has_room(&self) -> bool {
        self.slots == 0 || self.load < self.slots
    }
}

/// What matters of a request to where it goes.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest {
    /// Key of the text that it shares with others; nothing where it shares none.
    pub shared_prefix: Option<u64>,
    /// A draw between 0 and 1, for choices that nothing else decides.
    pub draw: f64,
}

/// Share of failures from which an endpoint counts as failing.
///
/// Services fail one request in seven for reasons of the request; with the weight of the moving
/// share, a well endpoint stays below this and one that fails four in ten is above after eight.
pub(crate) const FAILING_SHARE: f64 = 0.3;

/// Where a request to a model engine goes.
///
/// First to an engine that has read the request's shared text, while that one is not far above the
/// mean. Otherwise all edges rank the engines for a text in the same order without a message, by a
/// hash of text and engine, and the first one that has room takes it. So a text is read by few
/// engines, the same ones each time, and one that is asked for too often overflows to the next in
/// its order. Answers the loads of a site with many shared texts, a few of them very busy, whose
/// engines come and go.
pub fn choose_engine(
    candidates: &[SelectionCandidate<'_>],
    request: SelectionRequest,
    settings: &SelectionSettings,
) -> Option<EndpointKey> {
    let well = well_candidates(candidates);
    let mean = mean_load(&well);
    // The bound is a multiple of the mean of all, those among them that get nothing now.
    let highest = mean_load(candidates) * settings.holder_load_multiple;
    let text = request.shared_prefix.unwrap_or(request.draw.to_bits());
    let rank =
        |candidate: &SelectionCandidate<'_>| xxh3_64_with_seed(candidate.name.as_bytes(), text);
    let is_below = |candidate: &SelectionCandidate<'_>, multiple: f64| {
        f64::from(candidate.load) <= (mean * multiple).min(highest) + settings.load_slack
    };
    let holders = well.iter().filter(|candidate| candidate.holds_prefix);
    let open: Vec<_> = holders
        .filter(|candidate| candidate.has_room())
        .filter(|candidate| is_below(candidate, settings.holder_load_multiple))
        .collect();
    let holder = emptier_of_two(&open, request.draw);
    let first = || {
        let free = well.iter();
        let free = free.filter(|candidate| candidate.has_room());
        let free = free.filter(|candidate| is_below(candidate, settings.load_multiple));
        free.max_by_key(|candidate| rank(candidate))
    };
    let least = || well.iter().min_by_key(|candidate| candidate.load);
    let chosen = holder.or_else(first).or_else(least);
    chosen.map(|candidate| candidate.key)
}

fn mean_load(candidates: &[SelectionCandidate<'_>]) -> f64 {
    let total: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    f64::from(total) / candidates.len().max(1) as f64
}

/// The emptier of two drawn candidates.
///
/// Edges know of each other's requests a quarter of a second late. If all took the emptiest holder
/// of a busy text, it would be the fullest by then; two drawn ones spread the rush.
fn emptier_of_two<'a, 'b>(
    open: &[&'a SelectionCandidate<'b>],
    draw: f64,
) -> Option<&'a SelectionCandidate<'b>> {
    let count = open.len();
    let one = (draw * count as f64) as usize;
    let rest = (draw * count as f64).fract();
    let step = 1 + (rest * count.saturating_sub(1) as f64) as usize;
    let first = open.get(one)?;
    let second = open.get((one + step) % count)?;
    Some(match second.load < first.load {
        true => second,
        false => first,
    })
}

/// Where a request to a plain service goes: where least of this edge's is under way, by lot among
/// those.
///
/// Answers take some ten milliseconds there, so what other edges told a quarter of a second ago is
/// no guide: all would go for the replica that was emptiest then. Near replicas are not preferred,
/// for a domain that has one would fill it while others stand idle.
pub fn choose_replica(
    candidates: &[SelectionCandidate<'_>],
    request: SelectionRequest,
) -> Option<EndpointKey> {
    let well = well_candidates(candidates);
    let offset = (request.draw * well.len() as f64) as usize;
    let turned = well.iter().cycle().skip(offset).take(well.len());
    turned
        .min_by_key(|candidate| candidate.load)
        .map(|candidate| candidate.key)
}

/// The candidates without those that fail often, unless all do.
fn well_candidates<'a>(candidates: &[SelectionCandidate<'a>]) -> Vec<SelectionCandidate<'a>> {
    healthy_ones(candidates, |candidate| candidate.failure_rate)
}

/// Those that do not fail often, unless most do; `failing` is the share of failures of one.
pub(crate) fn healthy_ones<T>(all: &[T], failing: impl Fn(&T) -> f64) -> Vec<T>
where
    T: Copy,
{
    let well = all.iter().filter(|one| failing(one) < FAILING_SHARE);
    let well: Vec<T> = well.copied().collect();
    // Where most of a service fails, its requests or the service as a whole are at fault, and the
    // few others would break down under all of its load.
    if well.len() * 2 < all.len() {
        return all.to_vec();
    }
    well
}

/// Key of a text that is made of parts, all but the last of them shared.
pub fn shared_prefix_key(parts: &[u64]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    Some(*last)
}
