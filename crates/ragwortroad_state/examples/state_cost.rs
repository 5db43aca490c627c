//! Measures the cost of the replicated state: claims applied per second, bytes per claim, and the
//! bytes that a follower needs to catch up.
//!
//! `cargo run --release -p ragwortroad_state --example state_cost`

use std::time::{
    Duration,
    Instant, //
};

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const CLAIMS: u64 = 200_000;

fn main() -> Result<(), ApplyError> {
    print_spans();
    println!("claims: {CLAIMS} keys, each claimed and finished with a 200-byte answer");
    measure_memory()?;
    println!("batch  steps/s  log bytes/claim  snapshot bytes/claim  snapshot ms");
    for batch in [1, 16, 256] {
        measure_claims(batch)?;
    }
    for (what, customers) in [("today", 10), ("target", 2900)] {
        measure_changes(what, customers)?;
    }
    Ok(())
}

/// Prints the durations that follow from the default settings.
fn print_spans() {
    let (orders, follow) = (OrderTiming::default(), FollowTiming::default());
    println!(
        "{orders:?}: a new holder waits {:?}",
        orders.new_holder_wait()
    );
    println!(
        "{follow:?}: a node admits for {:?} since it asked, a new leader settles for {:?}, a node \
         asks every {:?}\n",
        follow.node_lease(Duration::ZERO),
        follow.new_leader_wait(Duration::ZERO),
        follow.renew_interval()
    );
}

/// Returns the resident memory of this process in kilobytes; 0 if the system does not report it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn apply(state: &mut FleetState, now_ms: u64, action: StateAction) -> Result<usize, ApplyError> {
    let stamp = CommandStamp {
        state: StateTime(now_ms),
        wall_ms: 1_700_000_000_000 + now_ms,
    };
    let bytes = StateCommand { stamp, action }.to_bytes();
    state.apply(state.applied() + 1, &bytes)?;
    Ok(bytes.len())
}

fn change(state: &FleetState, edits: Vec<ConfigEdit>) -> StateAction {
    let base_revision = state.config().revision;
    StateAction::Change(ChangeCommand {
        change_id: format!("change-{base_revision:08}"),
        base_revision,
        operator: "asta".to_owned(),
        edits,
    })
}

fn customer_name(number: u64) -> String {
    format!("customer-{number:04}")
}

/// Declares customers, each with a key, 50 in one change.
fn declare_customers(state: &mut FleetState, count: u64) -> Result<(), ApplyError> {
    for first in (0..count).step_by(50) {
        let mut edits = Vec::new();
        for number in first..count.min(first + 50) {
            let customer = customer_name(number);
            let key = KeyHash::of_key(&customer);
            edits.push(ConfigEdit::AddCustomer {
                customer: customer.clone(),
            });
            edits.push(ConfigEdit::AddKey { customer, key });
        }
        let action = change(state, edits);
        apply(state, 0, action)?;
    }
    Ok(())
}

fn claim_steps(number: u64) -> [ClaimStep; 2] {
    let key = ClaimKey::new(
        &customer_name(number % 10),
        "desk",
        &format!("key-{number}"),
    );
    let attempt = ClaimAttempt {
        node: NodeId(number % 9),
        request: RequestId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    };
    let answer = ClaimAnswer {
        status: 201,
        content_type: "application/json".to_owned(),
        body: vec![b'x'; 200],
    };
    let claim = ClaimStep::Claim {
        key: key.clone(),
        body: [number as u8; 16],
        attempt,
    };
    let finish = ClaimStep::Finish {
        key,
        attempt,
        result: ClaimResult::Answered(answer),
    };
    [claim, finish]
}

/// Returns a state in which a customer may have any number of claims.
fn state_with_high_limits() -> Result<FleetState, ApplyError> {
    let mut state = FleetState::default();
    declare_customers(&mut state, 10)?;
    let rules = ClaimsEdit {
        per_customer: Some(1_000_000),
        spent_per_customer: Some(10_000_000),
        answer_budget: Some(64 << 20),
        ..ClaimsEdit::default()
    };
    let action = change(&state, vec![ConfigEdit::SetClaims { rules }]);
    apply(&mut state, 0, action)?;
    Ok(state)
}

/// Measures memory per claim. Must run first: later measurements reuse memory that earlier ones
/// freed.
fn measure_memory() -> Result<(), ApplyError> {
    let mut state = state_with_high_limits()?;
    let before_kb = resident_kb();
    for number in 0..CLAIMS {
        let steps = claim_steps(number).to_vec();
        apply(&mut state, number, StateAction::Claims(steps))?;
    }
    let grown = (resident_kb() - before_kb) * 1024;
    println!(
        "memory: {} bytes/claim resident with its answer",
        grown / CLAIMS
    );
    Ok(())
}

fn measure_claims(batch: u64) -> Result<(), ApplyError> {
    let mut state = state_with_high_limits()?;
    let mut batches = Vec::new();
    for first in (0..CLAIMS).step_by(batch as usize) {
        let numbers = first..CLAIMS.min(first + batch);
        let steps = numbers.map(claim_steps);
        let (claims, finishes): (Vec<_>, Vec<_>) =
            steps.map(|[claim, finish]| (claim, finish)).unzip();
        batches.push(claims);
        batches.push(finishes);
    }
    let started = Instant::now();
    let mut bytes = 0;
    for (number, steps) in batches.into_iter().enumerate() {
        bytes += apply(&mut state, number as u64, StateAction::Claims(steps))?;
    }
    let rate = 2.0 * CLAIMS as f64 / started.elapsed().as_secs_f64();
    let started = Instant::now();
    let snapshot = state.to_snapshot().len();
    let took = started.elapsed();
    println!(
        "{batch:>5}  {rate:>7.0}  {:>15}  {:>20}  {:>11}",
        bytes as u64 / CLAIMS,
        snapshot as u64 / CLAIMS,
        took.as_millis()
    );
    Ok(())
}

fn measure_changes(what: &str, customers: u64) -> Result<(), ApplyError> {
    let mut state = FleetState::default();
    declare_customers(&mut state, customers)?;
    let mut past = vec![state.config().clone()];
    let first = state.config().revision;
    let started = Instant::now();
    for number in 0..1000u64 {
        let limits = LimitsEdit {
            requests_per_s: Some(number as u32 + 1),
            ..LimitsEdit::default()
        };
        let customer = customer_name(number % customers);
        let action = change(&state, vec![ConfigEdit::SetLimits { customer, limits }]);
        apply(&mut state, number, action)?;
        past.push(state.config().clone());
    }
    let accept = started.elapsed() / 1000;
    let whole = encoded_len(&state.config_since(u64::MAX));
    println!(
        "\n{what}: {customers} customers; whole configuration {whole} bytes; a change takes {accept:?}"
    );
    println!("missed  kind      bytes   follow");
    let newest = state.config().revision;
    for missed in [0, 1, 10, 100, 1000] {
        let update = state.config_since(newest - missed);
        let kind = match update {
            ConfigUpdate::Delta { .. } => "delta",
            ConfigUpdate::Snapshot(_) => "snapshot",
        };
        let bytes = encoded_len(&update);
        let mut follower = past[(newest - missed - first) as usize].clone();
        let started = Instant::now();
        let followed = follower.apply_update(update);
        let took: Duration = started.elapsed();
        assert!(followed.is_ok() && follower == *state.config());
        println!("{missed:>6}  {kind:<8}  {bytes:>6}  {took:?}");
    }
    Ok(())
}

fn encoded_len(update: &ConfigUpdate) -> usize {
    postcard::to_stdvec(update).map_or(0, |bytes| bytes.len())
}
