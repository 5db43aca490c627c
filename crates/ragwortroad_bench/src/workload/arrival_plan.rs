use crate::{
    DisturbanceSet,
    WorkloadSpec,
    workload::bench_rng::BenchRng, //
};

/// Every request of a run, in the order of time.
///
/// Arrivals are open-loop: a slow answer does not hold back the next request. They depend on the
/// seed and the workload alone, so that every policy meets the same ones.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalPlan {
    pub(crate) arrivals: Vec<BenchArrival>,
    /// Chats that occur.
    pub(crate) chat_count: usize,
    /// The model of each customer.
    pub(crate) customer_models: Vec<usize>,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchArrival {
    pub(crate) at_ms: u64,
    pub(crate) chat: u32,
    pub(crate) customer: u32,
    /// Number of the shared text, over all customers.
    pub(crate) shared_prefix: u32,
    /// Blocks of the chat before this turn.
    pub(crate) context_blocks: u32,
    /// Tokens of the answer.
    pub(crate) answer_tokens: u32,
    /// The caller keeps hints.
    pub(crate) returns_hints: bool,
}

/// Callers that hand back hints, as the interface allows but does not demand.
const HINT_RETURN_SHARE: f64 = 0.8;

/// How much more the surging customers ask.
const SURGE_FACTOR: f64 = 4.0;

/// Customers that surge.
pub(crate) const SURGING_CUSTOMERS: usize = 3;

impl ArrivalPlan {
    /// Draws the arrivals of `seconds`.
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
            // Chats that began before the run are in the middle of it when it starts.
            let early = -spec.mean_turns * spec.mean_pause_s;
            plan.add_chats(spec, &mut rng, customer, chats_per_s, early, end);
            if disturbances.surge && customer < SURGING_CUSTOMERS {
                let more = chats_per_s * (SURGE_FACTOR - 1.0);
                plan.add_chats(spec, &mut rng, customer, more, end / 3.0, end * 2.0 / 3.0);
            }
        }
        plan.arrivals
            .sort_by_key(|arrival| (arrival.at_ms, arrival.chat));
        plan
    }

    /// Adds the chats of one customer that begin between `from` and `to`.
    fn add_chats(
        &mut self,
        spec: &WorkloadSpec,
        rng: &mut BenchRng,
        customer: usize,
        chats_per_s: f64,
        from: f64,
        to: f64,
    ) {
        let mut begins = from + rng.exponential(1.0 / chats_per_s);
        while begins < to {
            self.add_turns(spec, rng, customer, begins, to);
            begins += rng.exponential(1.0 / chats_per_s);
        }
    }

    fn add_turns(
        &mut self,
        spec: &WorkloadSpec,
        rng: &mut BenchRng,
        customer: usize,
        begins: f64,
        to: f64,
    ) {
        let chat = self.chat_count as u32;
        self.chat_count += 1;
        let shared_prefix = (customer * spec.prefixes_per_customer) as u32
            + rng.below(spec.prefixes_per_customer as u64) as u32;
        let returns_hints = rng.unit() < HINT_RETURN_SHARE;
        let turns = 1 + rng.exponential(spec.mean_turns - 1.0).round() as u32;
        let mut at = begins;
        for turn in 0..turns {
            let answer = 4.0 + rng.exponential(spec.mean_answer_tokens - 4.0);
            let arrival = BenchArrival {
                at_ms: (at.max(0.0) * 1000.0) as u64,
                chat,
                customer: customer as u32,
                shared_prefix,
                context_blocks: turn * spec.turn_blocks,
                answer_tokens: answer as u32,
                returns_hints,
            };
            if at >= 0.0 && at < to {
                self.arrivals.push(arrival);
            }
            // Most come back soon, some much later.
            const LONG_PAUSE_SHARE: f64 = 0.1;
            const LONG_PAUSE_FACTOR: f64 = 5.5;
            let late = rng.unit() < LONG_PAUSE_SHARE;
            let mean = spec.mean_pause_s * if late { LONG_PAUSE_FACTOR } else { 0.5 };
            // Nobody goes on before the answer is there.
            const TOKEN_INTERVAL_S: f64 = 0.06;
            at += 1.0 + answer * TOKEN_INTERVAL_S + rng.exponential(mean);
        }
    }
}

/// The customers' sizes, against their sum.
pub(crate) fn customer_weights(spec: &WorkloadSpec) -> Vec<f64> {
    (0..spec.customers)
        .map(|index| 1.0 / (1.0 + index as f64).powf(0.8))
        .collect()
}
