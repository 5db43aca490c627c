use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_types::prelude::*;

/// The address answers that callers keep, each for as long as it may be kept.
pub(crate) struct AddressBook {
    /// Nodes to ask when nothing is known.
    seeds: Vec<String>,
    next_seed: AtomicUsize,
    kept: Mutex<HashMap<String, KeptAnswer>>,
}

/// One answer with its end.
struct KeptAnswer {
    addresses: Vec<String>,
    expires_at: Instant,
}

impl AddressBook {
    pub(crate) fn new(seeds: Vec<String>) -> Self {
        Self {
            seeds,
            next_seed: AtomicUsize::new(0),
            kept: Mutex::default(),
        }
    }

    /// The addresses kept under `name`, if they may still be used.
    pub(crate) fn get(&self, name: &str) -> Option<Vec<String>> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = kept.get(name)?;
        (Instant::now() < answer.expires_at).then(|| answer.addresses.clone())
    }

    pub(crate) fn insert(&self, name: &str, answer: &AddressAnswer) {
        let expires_at = Instant::now() + Duration::from_millis(answer.keep_ms);
        let addresses = answer.addresses.clone();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.insert(
            name.to_owned(),
            KeptAnswer {
                addresses,
                expires_at,
            },
        );
    }

    /// Puts the node that an answer named first in what is kept under `name`.
    pub(crate) fn move_to_front(&self, name: &str, address: &str) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(answer) = kept.get_mut(name) {
            answer.addresses.retain(|known| known != address);
            answer.addresses.insert(0, address.to_owned());
        }
    }

    pub(crate) fn remove(&self, name: &str) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.remove(name);
    }

    /// All seeds, beginning with another one at each call.
    pub(crate) fn seeds(&self) -> Vec<String> {
        let mut seeds = self.seeds.clone();
        if !seeds.is_empty() {
            let turn = self.next_seed.fetch_add(1, Ordering::Relaxed) % seeds.len();
            seeds.rotate_left(turn);
        }
        seeds
    }
}
