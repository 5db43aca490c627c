use crate::run::bench_run::BenchRun;

/// The planner: an oracle with the current caches and loads of all engines.
impl BenchRun<'_> {
    /// Returns the engine below the load bound whose cache holds the longest prefix of the prompt,
    /// and of equals the least loaded. If all engines are at the bound, returns the least loaded.
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
