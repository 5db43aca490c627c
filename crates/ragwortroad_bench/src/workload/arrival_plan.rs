use crate::{
    DisturbanceSet,
    WorkloadSpec,
    workload::bench_rng::BenchRng, //
};

/// The requests of a run, sorted by time.
///
/// Arrivals are open-loop: a slow answer does not delay the next request. They depend only on the
/// seed, the workload and the disturbances, so that every policy gets the same requests.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalPlan {
    pub(crate) arrivals: Vec<BenchArrival>,
    /// Number of chats.
    pub(crate) chat_count: usize,
    /// Model that each customer uses.
    pub(crate) customer_models: Vec<usize>,
}

/// The arrival of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchArrival {
    pub(crate) at_ms: u64,
    pub(crate) chat: u32,
    pub(crate) customer: u32,
    /// Index of the shared prompt prefix, over all customers.
    pub(crate) shared_prefix: u32,
    /// Blocks that earlier turns of the chat added after the shared prefix.
    pub(crate) context_blocks: u32,
    pub(crate) answer_tokens: u32,
    /// The client sends the placement hint of the previous answer.
    pub(crate) returns_hints: bool,
}

/// Share of chats whose client returns placement hints, which the API allows but does not require.
const HINT_RETURN_SHARE: f64 = 0.8;

/// Factor on the request rate of a customer during a surge.
const SURGE_FACTOR: f64 = 4.0;

/// Number of customers that surge: those with the lowest indexes, which are the largest.
pub(crate) const SURGING_CUSTOMERS: usize = 3;

impl ArrivalPlan {
    /// Generates the arrivals of a run of `seconds`.
    pub(crate) fn generate(
        spec: &WorkloadSpec,
        disturbances: DisturbanceSet,
        seed: u64,
        seconds: u64,
    ) -> Self {
        let weights = customer_weights(spec);
        let sum: f64 = weights.iter().sum();
        let mut plan = Self {
            arrivals: Vec::new(),
            chat_count: 0,
            customer_models: (0..spec.customers)
                .map(|index| index % spec.models)
                .collect(),
        };
        let end = seconds as f64;
        for (customer, weight) in weights.iter().enumerate() {
            let mut rng = BenchRng::new(seed, 1 + customer as u64);
            let chats_per_s = spec.requests_per_s * weight / sum / spec.mean_turns;
            // Chats that start before the run ensure that some are in progress at its start.
            let earliest = -spec.mean_turns * spec.mean_pause_s;
            plan.add_chats(spec, &mut rng, customer, chats_per_s, earliest, end);
            if disturbances.surge && customer < SURGING_CUSTOMERS {
                let extra_chats_per_s = chats_per_s * (SURGE_FACTOR - 1.0);
                plan.add_chats(
                    spec,
                    &mut rng,
                    customer,
                    extra_chats_per_s,
                    end / 3.0,
                    end * 2.0 / 3.0,
                );
            }
        }
        plan.arrivals
            .sort_by_key(|arrival| (arrival.at_ms, arrival.chat));
        plan
    }

    /// Adds the chats of one customer that start between `from` and `to`, in seconds.
    fn add_chats(
        &mut self,
        spec: &WorkloadSpec,
        rng: &mut BenchRng,
        customer: usize,
        chats_per_s: f64,
        from: f64,
        to: f64,
    ) {
        let mut start = from + rng.exponential(1.0 / chats_per_s);
        while start < to {
            self.add_turns(spec, rng, customer, start, to);
            start += rng.exponential(1.0 / chats_per_s);
        }
    }

    fn add_turns(
        &mut self,
        spec: &WorkloadSpec,
        rng: &mut BenchRng,
        customer: usize,
        start: f64,
        to: f64,
    ) {
        let chat = self.chat_count as u32;
        self.chat_count += 1;
        let shared_prefix = (customer * spec.prefixes_per_customer) as u32
            + rng.below(spec.prefixes_per_customer as u64) as u32;
        let returns_hints = rng.unit() < HINT_RETURN_SHARE;
        let turns = 1 + rng.exponential(spec.mean_turns - 1.0).round() as u32;
        let mut at = start;
        for turn in 0..turns {
            let answer_tokens = 4.0 + rng.exponential(spec.mean_answer_tokens - 4.0);
            let arrival = BenchArrival {
                at_ms: (at.max(0.0) * 1000.0) as u64,
                chat,
                customer: customer as u32,
                shared_prefix,
                context_blocks: turn * spec.turn_blocks,
                answer_tokens: answer_tokens as u32,
                returns_hints,
            };
            if at >= 0.0 && at < to {
                self.arrivals.push(arrival);
            }
            // Most turns follow after a short pause, some after a much longer one.
            const LONG_PAUSE_SHARE: f64 = 0.1;
            const LONG_PAUSE_FACTOR: f64 = 5.5;
            let long_pause = rng.unit() < LONG_PAUSE_SHARE;
            let mean = spec.mean_pause_s * if long_pause { LONG_PAUSE_FACTOR } else { 0.5 };
            // The next turn starts after the answer is complete.
            const TOKEN_INTERVAL_S: f64 = 0.06;
            at += 1.0 + answer_tokens * TOKEN_INTERVAL_S + rng.exponential(mean);
        }
    }
}

/// Returns the relative demand of each customer, which falls with its rank; the weights do not add
/// up to 1.
pub(crate) fn customer_weights(spec: &WorkloadSpec) -> Vec<f64> {
    (0..spec.customers)
        .map(|index| 1.0 / (1.0 + index as f64).powf(0.8))
        .collect()
}
