use crate::{
    DisturbanceSet,
    WorkloadSpec,
    workload::bench_draw::BenchDraw, //
};

/// Every request of a run, in the order of time.
///
/// Arrivals are open-loop: a slow answer does not hold back the next request. They depend on the
/// seed and the workload alone, so that every policy meets the same ones.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalPlan {
    pub(crate) arrivals: Vec<BenchArrival>,
    /// Chats that occur.
    pub(crate) chats: usize,
    /// The model of each customer.
    pub(crate) models: Vec<usize>,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchArrival {
    pub(crate) at_ms: u64,
    pub(crate) chat: u32,
    pub(crate) customer: u32,
    /// Number of the shared text, over all customers.
    pub(crate) plan: u32,
    /// Blocks of the chat before this turn.
    pub(crate) context_blocks: u32,
    /// Tokens of the answer.
    pub(crate) answer: u32,
    /// The caller keeps hints.
    pub(crate) keeps_hints: bool,
}

/// Callers that hand back hints, as the interface allows but does not demand.
const HINT_SHARE: f64 = 0.8;

/// How much more the surging customers ask.
const SURGE_FACTOR: f64 = 4.0;

/// Customers that surge.
pub(crate) const SURGING: usize = 3;

impl ArrivalPlan {
    /// Draws the arrivals of `seconds`.
    pub(crate) fn draw(
        spec: &WorkloadSpec,
        disturbances: DisturbanceSet,
        seed: u64,
        seconds: u64,
    ) -> Self {
        let weights = customer_weights(spec);
        let sum: f64 = weights.iter().sum();
        let mut plan = Self {
            arrivals: Vec::new(),
            chats: 0,
            models: (0..spec.customers)
                .map(|index| index % spec.models)
                .collect(),
        };
        let end = seconds as f64;
        for (customer, weight) in weights.iter().enumerate() {
            let mut draw = BenchDraw::new(seed, 1 + customer as u64);
            let chats_per_s = spec.rate * weight / sum / spec.turns;
            // Chats that began before the run are in the middle of it when it starts.
            let early = -spec.turns * spec.pause_s;
            plan.draw_chats(spec, &mut draw, customer, chats_per_s, early, end);
            if disturbances.surge && customer < SURGING {
                let more = chats_per_s * (SURGE_FACTOR - 1.0);
                plan.draw_chats(spec, &mut draw, customer, more, end / 3.0, end * 2.0 / 3.0);
            }
        }
        plan.arrivals
            .sort_by_key(|arrival| (arrival.at_ms, arrival.chat));
        plan
    }

    /// Adds the chats of one customer that begin between `from` and `to`.
    fn draw_chats(
        &mut self,
        spec: &WorkloadSpec,
        draw: &mut BenchDraw,
        customer: usize,
        chats_per_s: f64,
        from: f64,
        to: f64,
    ) {
        let mut begins = from + draw.exponential(1.0 / chats_per_s);
        while begins < to {
            self.draw_turns(spec, draw, customer, begins, to);
            begins += draw.exponential(1.0 / chats_per_s);
        }
    }

    fn draw_turns(
        &mut self,
        spec: &WorkloadSpec,
        draw: &mut BenchDraw,
        customer: usize,
        begins: f64,
        to: f64,
    ) {
        let chat = self.chats as u32;
        self.chats += 1;
        let plan = (customer * spec.plans) as u32 + draw.below(spec.plans as u64) as u32;
        let keeps_hints = draw.unit() < HINT_SHARE;
        let turns = 1 + draw.exponential(spec.turns - 1.0).round() as u32;
        let mut at = begins;
        for turn in 0..turns {
            let answer = 4.0 + draw.exponential(spec.answer_tokens - 4.0);
            let arrival = BenchArrival {
                at_ms: (at.max(0.0) * 1000.0) as u64,
                chat,
                customer: customer as u32,
                plan,
                context_blocks: turn * spec.turn_blocks,
                answer: answer as u32,
                keeps_hints,
            };
            if at >= 0.0 && at < to {
                self.arrivals.push(arrival);
            }
            // Most come back soon, some much later.
            const LATE_SHARE: f64 = 0.1;
            const LATE_FACTOR: f64 = 5.5;
            let late = draw.unit() < LATE_SHARE;
            let mean = spec.pause_s * if late { LATE_FACTOR } else { 0.5 };
            // Nobody goes on before the answer is there.
            const TOKEN_S: f64 = 0.06;
            at += 1.0 + answer * TOKEN_S + draw.exponential(mean);
        }
    }
}

/// The customers' sizes, against their sum.
pub(crate) fn customer_weights(spec: &WorkloadSpec) -> Vec<f64> {
    (0..spec.customers)
        .map(|index| 1.0 / (1.0 + index as f64).powf(0.8))
        .collect()
}
