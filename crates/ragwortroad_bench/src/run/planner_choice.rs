use crate::run::bench_run::BenchRun;

/// The planner that knows everything.
impl BenchRun<'_> {
    /// The engine within the bound whose cache holds most of the prompt now; the least loaded of
    /// equals. Where all are at the bound, the least loaded.
    pub(crate) fn choose_by_planner(&self, request: u32) -> Option<usize> {
        let live = &self.requests[request as usize];
        let chain = self.prompt_chain(live.arrival);
        let model = self.arrival_model(live.arrival);
        let limit = self.skew_trackers[model].load_limit();
        let mut best = None;
        for engine in &self.model_engines[model] {
            let fake = &self.engines[*engine];
            if !fake.alive || fake.leaving || live.excluded.contains(engine) {
                continue;
            }
            let load = self.engine_loads[*engine] + self.in_transit[*engine];
            let within = load < limit;
            let cached = if within {
                fake.cache.cached_prefix_blocks(&chain)
            } else {
                0
            };
            let rank = (within, cached, std::cmp::Reverse(load));
            if best.is_none_or(|(most, _)| rank > most) {
                best = Some((rank, *engine));
            }
        }
        best.map(|(_, engine)| engine)
    }
}
