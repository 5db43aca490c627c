use std::time::Duration;

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use crate::{
    LoadSettings,
    SurgePlan, //
};

/// One request, scheduled before the run starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedArrival {
    /// Due time, counted from the start of the run.
    pub(crate) at: Duration,
    /// Index into [`LoadSettings::customers`].
    pub(crate) customer: usize,
    pub(crate) action: PlannedAction,
}

/// The request that an arrival sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlannedAction {
    /// A turn of a chat; turn 0 starts the chat.
    Turn {
        chat: u64,
        turn: u32,
        streamed: bool,
    },
    /// A new booking.
    Booking { booking: u64 },
    /// A repeat of a booking under the same idempotency key, through another node.
    Resend { booking: u64 },
    /// A read from the service.
    Read { record: u64 },
}

/// Generates all arrivals of a run, sorted by due time.
pub(crate) fn plan_arrivals(settings: &LoadSettings) -> Vec<PlannedArrival> {
    let mut plan = ArrivalPlan {
        rng: Pcg64Mcg::seed_from_u64(settings.seed),
        settings,
        arrivals: Vec::new(),
    };
    if !settings.customers.is_empty() {
        plan.add_chats();
        plan.add_bookings();
        plan.add_reads();
    }
    plan.arrivals.sort_by_key(|arrival| arrival.at);
    plan.arrivals
}

/// The generator state of [`plan_arrivals`].
struct ArrivalPlan<'settings> {
    rng: Pcg64Mcg,
    settings: &'settings LoadSettings,
    arrivals: Vec<PlannedArrival>,
}

impl ArrivalPlan<'_> {
    fn add_chats(&mut self) {
        let mut chat = 0;
        let mut at = Duration::ZERO;
        // Arrivals are drawn at the surge rate for the whole run and thinned outside the surge.
        let factor = self
            .settings
            .surge
            .as_ref()
            .map_or(1.0, |surge| surge.factor.max(1.0));
        while let Some(next) = self.next_time(at, self.settings.chats_per_second * factor) {
            at = next;
            let customer = self.draw_customer();
            if self.rng.random::<f64>() * factor > self.rate_factor(customer, at) {
                continue;
            }
            chat += 1;
            self.add_turns(customer, chat, at);
        }
    }

    fn rate_factor(&self, customer: usize, at: Duration) -> f64 {
        let is_surging = |surge: &&SurgePlan| {
            customer < surge.customers && (surge.from..surge.until).contains(&at)
        };
        self.settings
            .surge
            .as_ref()
            .filter(is_surging)
            .map_or(1.0, |surge| surge.factor)
    }

    fn add_turns(&mut self, customer: usize, chat: u64, first: Duration) {
        let mut at = first;
        for turn in 0..self.settings.turns {
            let streamed = self.rng.random_range(0..100) < self.settings.stream_percent;
            let action = PlannedAction::Turn {
                chat,
                turn,
                streamed,
            };
            self.push(at, customer, action);
            let pause_factor = 0.5 + self.rng.random::<f64>();
            at += self.settings.think_time.mul_f64(pause_factor);
        }
    }

    fn add_bookings(&mut self) {
        let mut booking = 0;
        let mut at = Duration::ZERO;
        while let Some(next) = self.next_time(at, self.settings.bookings_per_second) {
            at = next;
            booking += 1;
            let customer = self.draw_customer();
            self.push(at, customer, PlannedAction::Booking { booking });
            if self.rng.random_range(0..100) < self.settings.resend_percent {
                let delay = Duration::from_millis(self.rng.random_range(0..300));
                self.push(at + delay, customer, PlannedAction::Resend { booking });
            }
        }
    }

    fn add_reads(&mut self) {
        let mut at = Duration::ZERO;
        while let Some(next) = self.next_time(at, self.settings.reads_per_second) {
            at = next;
            let customer = self.draw_customer();
            let record = self.rng.random_range(0..1000);
            self.push(at, customer, PlannedAction::Read { record });
        }
    }

    fn push(&mut self, at: Duration, customer: usize, action: PlannedAction) {
        if at < self.settings.duration {
            self.arrivals.push(PlannedArrival {
                at,
                customer,
                action,
            });
        }
    }

    /// Returns the next arrival of a Poisson process, or `None` past the end of the run.
    fn next_time(&mut self, at: Duration, rate: f64) -> Option<Duration> {
        if rate <= 0.0 {
            return None;
        }
        let draw: f64 = self.rng.random();
        let gap = -(1.0 - draw).ln() / rate;
        let next = at + Duration::from_secs_f64(gap.min(1e6));
        (next < self.settings.duration).then_some(next)
    }

    fn draw_customer(&mut self) -> usize {
        let customers = &self.settings.customers;
        let total: f64 = customers.iter().map(|customer| customer.weight).sum();
        let mut draw = self.rng.random::<f64>() * total;
        for (index, customer) in customers.iter().enumerate() {
            draw -= customer.weight;
            if draw < 0.0 {
                return index;
            }
        }
        customers.len() - 1
    }
}
