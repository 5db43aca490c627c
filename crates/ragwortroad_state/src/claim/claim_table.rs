use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClaimAnswer,
    ClaimAttempt,
    ClaimCount,
    ClaimKey,
    ClaimOutcome,
    ClaimResult,
    ClaimStep,
    FleetConfig,
    StateTime,
    claim::{
        claim_entry::{
            ClaimEntry,
            ClaimPhase, //
        },
        customer_claims::CustomerClaims, //
    }, //
};

/// Customers checked for expired keys with each batch.
const SWEEP_CUSTOMERS: usize = 4;
/// Maximum number of one customer's keys that expire with one batch.
const MAX_EXPIRED_KEYS: u32 = 64;

/// The claimed idempotency keys of all customers, with their attempts and results.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimTable {
    customers: BTreeMap<String, CustomerClaims>,
    /// Nodes declared lost, with the time up to which their claims are unknown.
    lost: BTreeMap<NodeId, StateTime>,
    /// Dated keys issued before this time are refused unless a record of them remains.
    ///
    /// Invariant: never decreases. The record of a dated key is dropped only when the key is older
    /// than the floor. If the floor could decrease, after a wall clock was set back or the window
    /// was made longer, a dropped key would be taken for a new one and run again.
    floor_ms: u64,
    wall_ms: u64,
    /// The customer after which the next sweep begins.
    swept: String,
}

impl ClaimTable {
    /// Applies the steps of one batch, in order.
    pub(crate) fn apply(
        &mut self,
        config: &FleetConfig,
        steps: Vec<ClaimStep>,
        now: StateTime,
        wall_ms: u64,
    ) -> Vec<ClaimOutcome> {
        self.advance(config, now, wall_ms);
        let outcomes = steps.into_iter().map(|step| match step {
            ClaimStep::Claim { key, body, attempt } => self.claim(config, key, body, attempt, now),
            ClaimStep::Finish {
                key,
                attempt,
                result,
            } => self.finish(config, &key, attempt, result),
            ClaimStep::Release { key, body, attempt } => {
                self.release(config, key, body, attempt, now)
            }
            ClaimStep::NodeLost { node } => {
                self.lost.insert(node, now);
                ClaimOutcome::Noted
            }
        });
        outcomes.collect()
    }

    /// Counts the keys remembered for `customer`.
    pub fn count(&self, customer: &str) -> ClaimCount {
        let claims = self.customers.get(customer);
        claims.map_or_else(ClaimCount::default, CustomerClaims::count)
    }

    /// The customers that have remembered keys.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.customers.keys().map(String::as_str)
    }

    /// Advances the clocks and expires keys, for a few customers at a time in rotation.
    fn advance(&mut self, config: &FleetConfig, now: StateTime, wall_ms: u64) {
        self.wall_ms = self.wall_ms.max(wall_ms);
        let window = Duration::from_secs(config.claims.window_s.into());
        let floor = self.wall_ms.saturating_sub(window.as_millis() as u64);
        self.floor_ms = self.floor_ms.max(floor);
        self.lost.retain(|_, lost_at| lost_at.after(window) >= now);
        let later = self.customers.range(self.swept.clone()..);
        let names = later
            .map(|(name, _)| name)
            .filter(|name| **name != self.swept);
        let mut names: Vec<String> = names.take(SWEEP_CUSTOMERS).cloned().collect();
        if names.len() < SWEEP_CUSTOMERS {
            let rest = SWEEP_CUSTOMERS - names.len();
            names.extend(self.customers.keys().take(rest).cloned());
        }
        for name in &names {
            self.expire(config, name, now);
        }
        self.swept = names.pop().unwrap_or_default();
    }

    fn expire(&mut self, config: &FleetConfig, customer: &str, now: StateTime) {
        if let Some(claims) = self.customers.get_mut(customer) {
            claims.expire(now, self.floor_ms, &config.claims, MAX_EXPIRED_KEYS);
        }
    }

    fn claim(
        &mut self,
        config: &FleetConfig,
        key: ClaimKey,
        body: [u8; 16],
        attempt: ClaimAttempt,
        now: StateTime,
    ) -> ClaimOutcome {
        self.expire(config, &key.customer, now);
        let known = self.recorded_outcome(config, &key, body, attempt, now);
        let outcome = known.unwrap_or_else(|| self.check_new_key(config, &key));
        if outcome == ClaimOutcome::Granted {
            self.record_claim(key, body, attempt, now);
        }
        outcome
    }

    /// Returns the outcome for a key that has a full record.
    fn recorded_outcome(
        &self,
        config: &FleetConfig,
        key: &ClaimKey,
        body: [u8; 16],
        attempt: ClaimAttempt,
        now: StateTime,
    ) -> Option<ClaimOutcome> {
        let entry = self
            .customers
            .get(&key.customer)?
            .entries
            .get(&key.digest)?;
        let stale = self.is_stale(config, entry, now);
        Some(if entry.body != body {
            ClaimOutcome::BodyDiffers
        } else if entry.released.contains(&attempt) {
            ClaimOutcome::Withdrawn
        } else if entry.attempt == attempt && entry.phase == ClaimPhase::Running && !stale {
            // The same step was sent again because its first answer was lost.
            ClaimOutcome::Granted
        } else {
            entry.claim_outcome(stale)
        })
    }

    fn is_stale(&self, config: &FleetConfig, entry: &ClaimEntry, now: StateTime) -> bool {
        let bound = Duration::from_secs(config.claims.run_bound_s.into());
        let lost_at = self.lost.get(&entry.attempt.node);
        lost_at.is_some_and(|lost_at| entry.claimed_at <= *lost_at)
            || entry.claimed_at.after(bound) < now
    }

    /// Decides whether a key without a full record may run.
    fn check_new_key(&mut self, config: &FleetConfig, key: &ClaimKey) -> ClaimOutcome {
        let rules = &config.claims;
        let Some(customer) = config.customers.get(&key.customer) else {
            return ClaimOutcome::UnknownCustomer;
        };
        let claims = self.customers.entry(key.customer.clone()).or_default();
        claims.clear_spent(customer.forgotten);
        let latest = self.wall_ms.saturating_add(u64::from(rules.skew_s) * 1000);
        match key.issued_ms {
            Some(issued) if issued < self.floor_ms => return ClaimOutcome::Expired,
            Some(issued) if issued > latest => return ClaimOutcome::Ahead,
            None if claims.is_spent(key.fingerprint()) => return ClaimOutcome::Expired,
            None if !claims.has_room_for_undated(rules) => return ClaimOutcome::Full,
            _ => {}
        }
        if claims.entries.len() >= rules.per_customer as usize {
            return ClaimOutcome::Full;
        }
        ClaimOutcome::Granted
    }

    /// Records that `attempt` holds the key. A repeated step keeps the time of the first one.
    fn record_claim(
        &mut self,
        key: ClaimKey,
        body: [u8; 16],
        attempt: ClaimAttempt,
        now: StateTime,
    ) {
        let claims = self.customers.entry(key.customer).or_default();
        let old = claims.entries.get(&key.digest);
        if old.is_some_and(|entry| entry.attempt == attempt) {
            return;
        }
        let released = old.map_or_else(Vec::new, |entry| entry.released.clone());
        let entry = ClaimEntry {
            body,
            attempt,
            claimed_at: now,
            issued_ms: key.issued_ms,
            phase: ClaimPhase::Running,
            released,
        };
        claims.insert_entry(key.digest, entry);
    }

    fn finish(
        &mut self,
        config: &FleetConfig,
        key: &ClaimKey,
        attempt: ClaimAttempt,
        result: ClaimResult,
    ) -> ClaimOutcome {
        let rules = &config.claims;
        let claims = self.customers.get_mut(&key.customer);
        let Some((claims, entry)) = claims.and_then(|claims| {
            let entry = claims.entries.get(&key.digest)?.clone();
            (entry.attempt == attempt).then_some((claims, entry))
        }) else {
            return ClaimOutcome::NotHeld;
        };
        if !matches!(entry.phase, ClaimPhase::Running | ClaimPhase::Unknown) {
            // A repeated finish is ignored; a released attempt cannot finish.
            let released = entry.phase == ClaimPhase::Released;
            return if released {
                ClaimOutcome::NotHeld
            } else {
                ClaimOutcome::Noted
            };
        }
        let mut answer_bytes = None;
        let phase = match result {
            ClaimResult::Answered(answer) if answer.length() <= rules.answer_bytes as usize => {
                answer_bytes = Some(answer.length());
                ClaimPhase::Answered(answer)
            }
            ClaimResult::Answered(ClaimAnswer { status, .. }) | ClaimResult::Ran { status } => {
                ClaimPhase::Ran { status }
            }
            ClaimResult::Unknown => ClaimPhase::Unknown,
        };
        if let Some(entry) = claims.entries.get_mut(&key.digest) {
            entry.phase = phase;
        }
        if let Some(bytes) = answer_bytes {
            claims.record_answer(key.digest, bytes, rules);
        }
        ClaimOutcome::Noted
    }

    fn release(
        &mut self,
        config: &FleetConfig,
        key: ClaimKey,
        body: [u8; 16],
        attempt: ClaimAttempt,
        now: StateTime,
    ) -> ClaimOutcome {
        let claims = self.customers.get_mut(&key.customer);
        let entry = claims.and_then(|claims| claims.entries.get_mut(&key.digest));
        if let Some(entry) = entry {
            return release_entry(entry, attempt);
        }
        // The release overtook its claim. It is recorded so that the claim is refused when it
        // arrives; otherwise the claim would hold the key for an attempt that is over.
        if self.check_new_key(config, &key) != ClaimOutcome::Granted {
            return ClaimOutcome::Noted;
        }
        let claims = self.customers.entry(key.customer).or_default();
        let entry = ClaimEntry {
            body,
            attempt,
            claimed_at: now,
            issued_ms: key.issued_ms,
            phase: ClaimPhase::Released,
            released: vec![attempt],
        };
        claims.insert_entry(key.digest, entry);
        ClaimOutcome::Noted
    }
}

fn release_entry(entry: &mut ClaimEntry, attempt: ClaimAttempt) -> ClaimOutcome {
    if entry.attempt == attempt {
        match entry.phase {
            ClaimPhase::Running | ClaimPhase::Released => entry.phase = ClaimPhase::Released,
            // Bytes were sent, so this release is an error of the node and must not free the key.
            _ => return ClaimOutcome::NotHeld,
        }
    }
    entry.record_release(attempt);
    ClaimOutcome::Noted
}
