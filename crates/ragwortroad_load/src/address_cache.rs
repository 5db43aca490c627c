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

/// The address answers that callers keep, each for as long as it may be cached.
pub(crate) struct AddressCache {
    /// Nodes to ask when nothing is known.
    seeds: Vec<String>,
    next_seed: AtomicUsize,
    cached: Mutex<HashMap<String, CachedAddresses>>,
}

/// One answer with its end.
struct CachedAddresses {
    addresses: Vec<String>,
    expires_at: Instant,
}

impl AddressCache {
    pub(crate) fn new(seeds: Vec<String>) -> Self {
        Self {
            seeds,
            next_seed: AtomicUsize::new(0),
            cached: Mutex::default(),
        }
    }

    /// The addresses cached under `name`, if they may still be used.
    pub(crate) fn get(&self, name: &str) -> Option<Vec<String>> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = cached.get(name)?;
        (Instant::now() < answer.expires_at).then(|| answer.addresses.clone())
    }

    pub(crate) fn insert(&self, name: &str, answer: &AddressAnswer) {
        let expires_at = Instant::now() + Duration::from_millis(answer.keep_ms);
        let addresses = answer.addresses.clone();
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.insert(
            name.to_owned(),
            CachedAddresses {
                addresses,
                expires_at,
            },
        );
    }

    /// Puts the node that an answer named first in what is cached under `name`.
    pub(crate) fn move_to_front(&self, name: &str, address: &str) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(answer) = cached.get_mut(name) {
            answer.addresses.retain(|known| known != address);
            answer.addresses.insert(0, address.to_owned());
        }
    }

    pub(crate) fn remove(&self, name: &str) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.remove(name);
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
