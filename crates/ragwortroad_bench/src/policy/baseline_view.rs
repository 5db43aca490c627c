use ragwortroad_routing::LoadBound;

use crate::{
    PolicyKind,
    workload::bench_rng::BenchRng, //
};

/// The state of one node under a policy without home nodes: delayed load reports and the node's own
/// requests.
#[derive(Clone, Debug)]
pub(crate) struct BaselineView {
    pub(crate) engines: Vec<EngineView>,
    round_robin_index: usize,
    rng: BenchRng,
}

/// An engine as a node sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineView {
    /// The engine accepts new requests.
    pub(crate) available: bool,
    /// The load in the last digest, in requests.
    pub(crate) reported_load: u32,
    /// Requests that this node sent since the last digest.
    pub(crate) sent_since_report: u32,
}

impl BaselineView {
    /// Creates the view of node `node`, in which all `engines` are available and idle.
    pub(crate) fn new(engines: usize, seed: u64, node: usize) -> Self {
        let idle = EngineView {
            available: true,
            ..EngineView::default()
        };
        Self {
            engines: vec![idle; engines],
            // Nodes that all start with the same engine would send to the same engines in lockstep.
            round_robin_index: node * 7,
            rng: BenchRng::new(seed, 0xba5e + node as u64),
        }
    }

    /// Returns the engine of `pool` to which `policy` routes the chat with hash `key`, or `None` if
    /// all engines are unavailable or in `excluded`.
    pub(crate) fn choose(
        &mut self,
        policy: PolicyKind,
        pool: &[usize],
        key: u64,
        excluded: &[usize],
    ) -> Option<usize> {
        let available: Vec<usize> = pool
            .iter()
            .copied()
            .filter(|engine| self.engines[*engine].available && !excluded.contains(engine))
            .collect();
        if available.is_empty() {
            return None;
        }
        match policy {
            PolicyKind::RoundRobin => {
                self.round_robin_index += 1;
                Some(available[self.round_robin_index % available.len()])
            }
            PolicyKind::LeastReported => available
                .iter()
                .copied()
                .min_by_key(|engine| self.engines[*engine].reported_load),
            PolicyKind::TwoChoices => {
                let first = available[self.rng.below(available.len() as u64) as usize];
                let second = available[self.rng.below(available.len() as u64) as usize];
                let second_is_lighter =
                    self.engines[second].reported_load < self.engines[first].reported_load;
                Some(if second_is_lighter { second } else { first })
            }
            PolicyKind::BoundedLoad => {
                let total: u32 = available
                    .iter()
                    .map(|engine| self.estimated_load(*engine))
                    .sum();
                let mean = f64::from(total) / available.len() as f64;
                let limit = LoadBound::default().of_mean(mean);
                let below_limit = available
                    .iter()
                    .copied()
                    .filter(|engine| self.estimated_load(*engine) < limit);
                highest_hash(below_limit, key)
                    .or_else(|| highest_hash(available.iter().copied(), key))
            }
            PolicyKind::Rendezvous | PolicyKind::Planner | PolicyKind::Homes(_) => {
                highest_hash(available.iter().copied(), key)
            }
        }
    }

    fn estimated_load(&self, engine: usize) -> u32 {
        self.engines[engine].reported_load + self.engines[engine].sent_since_report
    }
}

/// Returns the engine that rendezvous hashing selects for `key`.
fn highest_hash(engines: impl Iterator<Item = usize>, key: u64) -> Option<usize> {
    engines.max_by_key(|engine| hash_pair(*engine as u64, key))
}

/// Hashes two numbers with xxh3; `right` is the seed.
pub(crate) fn hash_pair(left: u64, right: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&left.to_le_bytes(), right)
}
