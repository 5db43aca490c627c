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

/// The node addresses that clients cache, each entry for the lifetime its response allows.
pub(crate) struct AddressCache {
    /// Nodes to query when nothing is cached.
    seeds: Vec<String>,
    next_seed: AtomicUsize,
    cached: Mutex<HashMap<String, CachedAddresses>>,
}

/// One cached address response with its expiry time.
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

    /// Returns the addresses cached under `name`, unless they have expired.
    pub(crate) fn get(&self, name: &str) -> Option<Vec<String>> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = cached.get(name)?;
        (Instant::now() < entry.expires_at).then(|| entry.addresses.clone())
    }

    pub(crate) fn insert(&self, name: &str, response: &AddressResponse) {
        let expires_at = Instant::now() + Duration::from_millis(response.keep_ms);
        let addresses = response.addresses.clone();
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.insert(
            name.to_owned(),
            CachedAddresses {
                addresses,
                expires_at,
            },
        );
    }

    /// Moves `address` to the front of the addresses cached under `name`.
    pub(crate) fn move_to_front(&self, name: &str, address: &str) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = cached.get_mut(name) {
            entry.addresses.retain(|known| known != address);
            entry.addresses.insert(0, address.to_owned());
        }
    }

    pub(crate) fn remove(&self, name: &str) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.remove(name);
    }

    /// Returns all seeds, rotated by one more position at each call.
    pub(crate) fn seeds(&self) -> Vec<String> {
        let mut seeds = self.seeds.clone();
        if !seeds.is_empty() {
            let turn = self.next_seed.fetch_add(1, Ordering::Relaxed) % seeds.len();
            seeds.rotate_left(turn);
        }
        seeds
    }
}
