//! Seeded random numbers and the commands that several tests need.
#![allow(dead_code, reason = "each test file uses a part")]

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// A random number generator that is reproducible from its seed.
pub(crate) struct SeededRng(Pcg64Mcg);

impl SeededRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a number in `0..limit`.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0.random_range(0..limit)
    }

    /// Returns true with a probability of `percent`.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Removes a random item and returns it.
    pub(crate) fn take_random<T>(&mut self, items: &mut Vec<T>) -> Option<T> {
        if items.is_empty() {
            return None;
        }
        let index = self.below(items.len() as u64) as usize;
        Some(items.swap_remove(index))
    }
}

pub(crate) fn command(state_ms: u64, action: StateAction) -> StateCommand {
    let stamp = CommandStamp {
        state: StateTime(state_ms),
        wall_ms: 1_700_000_000_000 + state_ms,
    };
    StateCommand { stamp, action }
}

pub(crate) fn change(id: &str, base: u64, edits: Vec<ConfigEdit>) -> ChangeCommand {
    ChangeCommand {
        change_id: id.to_owned(),
        base_revision: base,
        operator: "asta".to_owned(),
        edits,
    }
}

pub(crate) fn add_customer(name: &str) -> ConfigEdit {
    ConfigEdit::AddCustomer {
        customer: name.to_owned(),
    }
}

/// Returns a state in which `customers` are declared.
pub(crate) fn state_with(customers: &[&str]) -> FleetState {
    let mut state = FleetState::default();
    let edits = customers.iter().map(|name| add_customer(name)).collect();
    let action = StateAction::Change(change("setup", 0, edits));
    state.apply(1, &command(0, action).to_bytes()).unwrap();
    state
}

pub(crate) fn attempt(node: u64, request: u64) -> ClaimAttempt {
    ClaimAttempt {
        node: NodeId(node),
        request: RequestId(request),
    }
}
