use ragwortroad_routing::LoadBound;

use crate::{
    PolicyKind,
    workload::bench_rng::BenchRng, //
};

/// What one node knows under a policy without home nodes: late reports and its own sends.
#[derive(Clone, Debug)]
pub(crate) struct BaselineView {
    pub(crate) engines: Vec<EngineView>,
    round_robin_index: usize,
    rng: BenchRng,
}

/// One engine as a node sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineView {
    /// It may be sent to.
    pub(crate) available: bool,
    /// Its load by the last digest.
    pub(crate) reported_load: u32,
    /// What this node sent since.
    pub(crate) sent_since_report: u32,
}

impl BaselineView {
    /// A node that believes all of `engines` open and idle.
    pub(crate) fn new(engines: usize, seed: u64, node: usize) -> Self {
        let seen = EngineView {
            available: true,
            ..EngineView::default()
        };
        Self {
            engines: vec![seen; engines],
            // Nodes that all began with the same engine would send in step.
            round_robin_index: node * 7,
            rng: BenchRng::new(seed, 0xba5e + node as u64),
        }
    }

    /// The engine of `pool` that `policy` sends the chat with hash `key` to, without `excluded`.
    pub(crate) fn choose(
        &mut self,
        policy: PolicyKind,
        pool: &[usize],
        key: u64,
        excluded: &[usize],
    ) -> Option<usize> {
        let open: Vec<usize> = pool
            .iter()
            .copied()
            .filter(|engine| self.engines[*engine].available && !excluded.contains(engine))
            .collect();
        if open.is_empty() {
            return None;
        }
        match policy {
            PolicyKind::RoundRobin => {
                self.round_robin_index += 1;
                Some(open[self.round_robin_index % open.len()])
            }
            PolicyKind::LeastReported => open
                .iter()
                .copied()
                .min_by_key(|engine| self.engines[*engine].reported_load),
            PolicyKind::TwoChoices => {
                let first = open[self.rng.below(open.len() as u64) as usize];
                let second = open[self.rng.below(open.len() as u64) as usize];
                let lighter =
                    self.engines[second].reported_load < self.engines[first].reported_load;
                Some(if lighter { second } else { first })
            }
            PolicyKind::BoundedLoad => {
                let total: u32 = open.iter().map(|engine| self.estimated_load(*engine)).sum();
                let mean = f64::from(total) / open.len() as f64;
                let limit = LoadBound::default().of_mean(mean);
                let below = open
                    .iter()
                    .copied()
                    .filter(|engine| self.estimated_load(*engine) < limit);
                highest_hash(below, key).or_else(|| highest_hash(open.iter().copied(), key))
            }
            PolicyKind::Rendezvous | PolicyKind::Planner | PolicyKind::Homes(_) => {
                highest_hash(open.iter().copied(), key)
            }
        }
    }

    fn estimated_load(&self, engine: usize) -> u32 {
        self.engines[engine].reported_load + self.engines[engine].sent_since_report
    }
}

/// The engine with the highest hash for `key`.
fn highest_hash(engines: impl Iterator<Item = usize>, key: u64) -> Option<usize> {
    engines.max_by_key(|engine| hash_pair(*engine as u64, key))
}

/// A well mixed hash of two numbers.
pub(crate) fn hash_pair(left: u64, right: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&left.to_le_bytes(), right)
}
