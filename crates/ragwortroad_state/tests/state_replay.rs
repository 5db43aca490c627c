//! Members that applied the same log have the same state, no matter which snapshot they started
//! from.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use proptest::prelude::*;

use common::{
    SeededRng,
    attempt,
    change,
    command, //
};
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const CUSTOMERS: [&str; 3] = ["north", "south", "east"];

fn random_edit(rng: &mut SeededRng) -> ConfigEdit {
    let customer = CUSTOMERS[rng.below(3) as usize].to_owned();
    let model = format!("model-{}", rng.below(2));
    match rng.below(9) {
        0 | 1 => ConfigEdit::AddCustomer { customer },
        2 => ConfigEdit::RemoveCustomer { customer },
        3 => ConfigEdit::AddModel {
            model,
            version: "v1".to_owned(),
            replicas: ReplicaRange::default(),
            size_mb: 100,
        },
        4 => ConfigEdit::RollModel {
            model,
            version: format!("v{}", rng.below(4)),
            percent: rng.below(101) as u32,
        },
        5 => ConfigEdit::RollBack { model },
        6 => ConfigEdit::SetQuorumLoss {
            policy: QuorumLoss::GoOn {
                seconds: rng.below(100) as u32,
            },
        },
        7 => ConfigEdit::SetClaims {
            rules: ClaimsEdit {
                window_s: Some(60 + rng.below(60) as u32),
                run_bound_s: Some(20),
                answer_budget: Some(rng.below(40) as u32),
                ..ClaimsEdit::default()
            },
        },
        _ => ConfigEdit::ForgetKeys { customer },
    }
}

fn random_step(rng: &mut SeededRng, now_ms: u64) -> ClaimStep {
    let name = match rng.below(2) {
        0 => format!("key-{}", rng.below(20)),
        _ => {
            let issued = 1_700_000_000_000 + now_ms.saturating_sub(rng.below(200_000));
            format!(
                "{:08x}-{:04x}-7000-8000-{:012x}",
                issued >> 16,
                issued & 0xffff,
                rng.below(3)
            )
        }
    };
    let customer = CUSTOMERS[rng.below(3) as usize];
    let key = ClaimKey::new(customer, "desk", &name);
    let body = [rng.below(2) as u8; 16];
    let attempt = attempt(rng.below(3), rng.below(6));
    match rng.below(8) {
        0..=3 => ClaimStep::Claim { key, body, attempt },
        4 => ClaimStep::Release { key, body, attempt },
        5 => ClaimStep::NodeLost { node: attempt.node },
        6 => ClaimStep::Finish {
            key,
            attempt,
            result: ClaimResult::Unknown,
        },
        _ => ClaimStep::Finish {
            key,
            attempt,
            result: ClaimResult::Answered(ClaimAnswer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: vec![7; rng.below(20) as usize],
            }),
        },
    }
}

fn random_action(rng: &mut SeededRng, state: &FleetState, now_ms: u64) -> StateAction {
    match rng.below(8) {
        0 => StateAction::Tick,
        1 | 2 => {
            let id = format!("change-{}", rng.below(40));
            let base = state.config().revision - rng.below(2).min(state.config().revision);
            let count = 1 + rng.below(3);
            let edits = (0..count).map(|_| random_edit(rng)).collect();
            StateAction::Change(change(&id, base, edits))
        }
        3 => StateAction::TakeOrders {
            holder: NodeId(rng.below(3)),
        },
        4 => StateAction::Plan {
            fence: FencingToken(rng.below(3) + state.lease().fence().0 - 1),
            targets: vec![("engine".to_owned(), Some(EngineTarget::default()))],
        },
        _ => {
            let count = 1 + rng.below(6);
            StateAction::Claims((0..count).map(|_| random_step(rng, now_ms)).collect())
        }
    }
}

/// A member that restarted from a snapshot could have another state than one that applied the whole
/// log.
#[test]
fn snapshot_after_any_entry_restores_the_same_state() {
    let (mut commands, mut restores) = (0, 0);
    for seed in 0..40 {
        let mut rng = SeededRng::new(seed);
        let mut member = FleetState::default();
        let mut restarted = FleetState::default();
        let take = StateAction::TakeOrders { holder: NodeId(1) };
        let mut now_ms = 0;
        let mut next = take;
        for index in 1..300 {
            now_ms += rng.below(3000);
            // A stamp of a former leader may be older.
            let stamp_ms = now_ms - rng.below(500).min(now_ms);
            let bytes = command(stamp_ms, next).to_bytes();
            let outcome = member.apply(index, &bytes).unwrap();
            assert_eq!(
                restarted.apply(index, &bytes).unwrap(),
                outcome,
                "seed {seed}"
            );
            if rng.chance(20) {
                restarted = FleetState::from_snapshot(&restarted.to_snapshot()).unwrap();
                restores += 1;
            }
            assert_eq!(member, restarted, "seed {seed} entry {index}");
            assert_eq!(member.to_snapshot(), restarted.to_snapshot());
            next = random_action(&mut rng, &member, now_ms);
            commands += 1;
        }
    }
    println!("{commands} commands, {restores} restarts from a snapshot, 40 seeds");
}

/// A member that skipped an entry, applied one twice, or could not read one would silently differ
/// from the others; it must return an error instead.
#[test]
fn entries_out_of_order_and_of_newer_programs_are_refused() {
    let mut state = FleetState::default();
    let tick = command(0, StateAction::Tick).to_bytes();
    state.apply(3, &tick).unwrap();
    assert!(matches!(
        state.apply(3, &tick),
        Err(ApplyError::OutOfOrder { .. })
    ));
    let mut newer = tick.clone();
    newer[0] = COMMAND_VERSION + 1;
    assert!(matches!(
        state.apply(4, &newer),
        Err(ApplyError::BadCommand { .. })
    ));
    assert_eq!(state.applied(), 3);
}

proptest! {
    #[test]
    fn decoders_accept_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let versioned: Vec<u8> = std::iter::once(1).chain(bytes.iter().copied()).collect();
        if let Ok(command) = StateCommand::from_bytes(&versioned) {
            // Every command that can be decoded can be applied without a panic.
            let mut state = FleetState::default();
            prop_assert!(state.apply(1, &command.to_bytes()).is_ok());
        }
        drop(FleetState::from_snapshot(&versioned));
        drop(FleetState::from_snapshot(&bytes));
    }

    #[test]
    fn damaged_snapshots_never_panic(place in 0usize..4000, flip in 1u8..) {
        let mut state = common::state_with(&["north"]);
        let mut rng = SeededRng::new(1);
        for index in 2..30 {
            let steps = (0..4).map(|_| random_step(&mut rng, 1000 * index)).collect();
            let bytes = command(1000 * index, StateAction::Claims(steps)).to_bytes();
            state.apply(index, &bytes).unwrap();
        }
        let mut bytes = state.to_snapshot();
        let place = place % bytes.len();
        bytes[place] ^= flip;
        drop(FleetState::from_snapshot(&bytes));
    }

    #[test]
    fn any_key_and_path_is_accepted(key in ".{0,60}", path in ".{0,40}") {
        let claim = ClaimKey::new("north", "desk", &key);
        prop_assert_eq!(&claim, &ClaimKey::new("north", "desk", &key));
        let pattern = CallPattern { method: "GET".to_owned(), path: "/slots/**".to_owned() };
        let call = format!("/slots/{path}");
        let plain = call.split('?').next().unwrap();
        let dotted = plain.split('/').any(|part| part == "..");
        prop_assert!(!dotted || !pattern.matches("GET", &call));
        prop_assert!(!plain.contains('%') || !pattern.matches("GET", &call));
    }
}
