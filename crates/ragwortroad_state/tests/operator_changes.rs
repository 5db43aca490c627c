//! Operators' changes: races, repeated submissions, followers, and linearizable histories.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        }, //
    },
    specifications::Specification, //
};

use common::{
    SeededRng,
    add_customer,
    change,
    command, //
};
use ragwortroad_state::prelude::*;

fn apply(state: &mut FleetState, change: &ChangeCommand) -> ChangeOutcome {
    let action = StateAction::Change(change.clone());
    let index = state.applied() + 1;
    match state
        .apply(index, &command(index, action).to_bytes())
        .unwrap()
    {
        ApplyOutcome::Changed(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

/// Two operators who issue changes on the same base could overwrite each other's change unseen. The
/// second must be refused with the first, also when both are sent again after a leader restart.
#[test]
fn second_change_on_the_same_base_is_a_conflict() {
    let mut state = FleetState::default();
    let first = change("first", 0, vec![add_customer("north")]);
    let second = change("second", 0, vec![add_customer("south")]);
    assert_eq!(
        apply(&mut state, &first),
        ChangeOutcome::Accepted { revision: 1 }
    );
    let refused = apply(&mut state, &second);
    let ChangeOutcome::Conflict {
        revision: 1,
        winner: Some(winner),
    } = &refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!(winner.change_id, "first");
    assert_eq!(winner.edits, first.edits);
    assert!(!state.config().customers.contains_key("south"));
    // Neither operator received a response, the leader restarted, and both send their changes
    // again.
    let mut state = FleetState::from_snapshot(&state.to_snapshot()).unwrap();
    assert_eq!(apply(&mut state, &second), refused);
    assert_eq!(
        apply(&mut state, &first),
        ChangeOutcome::Accepted { revision: 1 }
    );
    // Another change under a used identifier is refused.
    let other = change("first", 1, vec![add_customer("east")]);
    assert_eq!(apply(&mut state, &other), ChangeOutcome::IdReused);
}

/// A change with one invalid edit could be applied in part; it must leave the configuration as it
/// was.
#[test]
fn changes_are_atomic() {
    let mut state = common::state_with(&["north"]);
    let before = state.config().clone();
    let hash = KeyHash::of_key("secret");
    let add_key = |customer: &str| ConfigEdit::AddKey {
        customer: customer.to_owned(),
        key: hash,
    };
    let allow = ConfigEdit::AllowModel {
        customer: "north".to_owned(),
        model: "captions".to_owned(),
        adapter: None,
        version: None,
    };
    let shared = vec![add_customer("south"), add_key("south"), add_key("north")];
    let mut messages = Vec::new();
    for (id, edits) in [
        ("undeclared", vec![add_key("north"), allow]),
        ("shared", shared),
        ("multiple", vec![ConfigEdit::SetMultiple { permille: 900 }]),
        ("empty", Vec::new()),
        ("twice", vec![add_customer("south"), add_customer("south")]),
    ] {
        let outcome = apply(&mut state, &change(id, 1, edits));
        let ChangeOutcome::Invalid { faults } = outcome else {
            panic!("{id}: {outcome:?}");
        };
        messages.extend(faults.iter().map(ToString::to_string));
        assert_eq!(state.config(), &before);
    }
    insta::assert_snapshot!(messages.join("\n"), @r#"
    customer north uses model "captions", which is not declared; declare it, or take it away from customer north in the same line
    the key of customer north is also the key of customer south; give each a key of its own
    the load multiple in thousandths is 900; choose from 1001 to 10000
    a change has 0 edits; give 1 to 256
    customer "south" is there already; remove it first or choose another name
    "#);
}

/// Rolling back from any step of a rollout could leave shares of the new version behind.
#[test]
fn rollout_is_reverted_by_one_change() {
    let mut config = FleetConfig::default();
    let model = "captions".to_owned();
    let add = ConfigEdit::AddModel {
        model: model.clone(),
        version: "v1".to_owned(),
        replicas: ReplicaRange {
            min: 1,
            max: 4,
            wanted: 2,
        },
        size_mb: 16_000,
    };
    config = config.with_edits(&[add]).unwrap();
    for percent in [0, 1, 33, 50, 99, 100] {
        let roll = ConfigEdit::RollModel {
            model: model.clone(),
            version: "v2".to_owned(),
            percent,
        };
        config = config.with_edits(&[roll]).unwrap();
        let versions = &config.models[&model].versions;
        assert_eq!(versions.values().sum::<u32>(), 100);
        assert_eq!(versions.get("v2").copied().unwrap_or(0), percent);
        let back = ConfigEdit::RollBack {
            model: model.clone(),
        };
        let back = config.with_edits(&[back]).unwrap();
        assert_eq!(
            back.models[&model].versions,
            [("v1".to_owned(), 100)].into()
        );
    }
}

/// A follower could miss changes when its revision is no longer kept, or lose some when a delayed
/// update is older than its configuration.
#[test]
fn followers_catch_up_from_any_revision_and_never_go_back() {
    let mut state = FleetState::default();
    let mut past = vec![FleetConfig::default()];
    for number in 0..MAX_KEPT_CHANGES as u64 + 40 {
        let customer = format!("customer-{}", number % 7);
        let edit = if state.config().customers.contains_key(&customer) {
            ConfigEdit::RemoveCustomer { customer }
        } else {
            ConfigEdit::AddCustomer { customer }
        };
        let outcome = apply(
            &mut state,
            &change(&format!("c{number}"), number, vec![edit]),
        );
        assert!(outcome.is_accepted());
        past.push(state.config().clone());
    }
    let newest = state.config().revision;
    for missed in [0, 1, 2, 10, 100, 1000, MAX_KEPT_CHANGES as u64, newest] {
        let revision = newest - missed;
        let mut follower = past[revision as usize].clone();
        let update = state.config_since(revision);
        assert!(
            missed > 1 || matches!(update, ConfigUpdate::Delta { .. }),
            "{missed}"
        );
        follower.apply_update(update.clone()).unwrap();
        assert_eq!(&follower, state.config());
        // A repeated update has no effect.
        follower.apply_update(update).unwrap();
        assert_eq!(&follower, state.config());
    }
    let older = ConfigUpdate::Snapshot(Box::new(past[5].clone()));
    let mut follower = state.config().clone();
    assert!(matches!(
        follower.apply_update(older),
        Err(UpdateError::StaleUpdate { .. })
    ));
    let mut behind = past[3].clone();
    let gap = state.config_since(newest - 1);
    assert!(matches!(
        behind.apply_update(gap.clone()),
        Err(UpdateError::MissingChanges { .. })
    ));
    let mut diverged = past[newest as usize - 1].clone();
    diverged
        .customers
        .insert("odd".to_owned(), CustomerEntry::default());
    assert!(matches!(
        diverged.apply_update(gap),
        Err(UpdateError::Diverged { .. })
    ));
}

/// An operator's operation, with its result if one has arrived.
#[derive(Clone, Debug)]
enum OperatorOp {
    Change {
        id: u64,
        base: u64,
        result: Option<ChangeResult>,
    },
    Read {
        revision: Option<u64>,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum ChangeResult {
    Accepted(u64),
    /// The revision at that time and the identifier of the accepted change.
    Conflict(u64, String),
}

impl From<ChangeOutcome> for ChangeResult {
    fn from(outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted { revision } => Self::Accepted(revision),
            ChangeOutcome::Conflict { revision, winner } => Self::Conflict(
                revision,
                winner.map_or_else(String::new, |won| won.change_id),
            ),
            other => Self::Conflict(0, format!("{other:?}")),
        }
    }
}

fn add_one(number: u64) -> Vec<ConfigEdit> {
    vec![add_customer(&format!("x{number}"))]
}

/// The sequential specification of changes and reads.
struct OperatorSpec;

impl Specification for OperatorSpec {
    /// Identifiers of the accepted changes, in order.
    type State = Vec<u64>;
    type Operation = OperatorOp;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &OperatorOp, state: &Vec<u64>) -> (bool, Vec<u64>) {
        let revision = state.len() as u64;
        match operation {
            OperatorOp::Read { revision: seen } => (*seen == Some(revision), state.clone()),
            OperatorOp::Change { id, base, result } if *base == revision => {
                let mut next = state.clone();
                next.push(*id);
                (*result == Some(ChangeResult::Accepted(revision + 1)), next)
            }
            OperatorOp::Change { base, result, .. } => {
                let winner = state.get(*base as usize).map(|id| format!("c{id}"));
                let wanted = winner.map(|id| ChangeResult::Conflict(revision, id));
                (*result == wanted, state.clone())
            }
        }
    }
}

/// A fault injected around the state, which the check must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OperatorFault {
    None,
    /// Outcomes are lost with the leader, so a repeated change is taken for a new one.
    ForgetsOutcomes,
    /// The base revision is not compared.
    IgnoresBase,
    /// Reads are answered by a member that lags behind.
    StaleReads,
}

/// Simulates three operators whose messages are lost, repeated and reordered while leaders change.
fn operator_history(seed: u64, fault: OperatorFault) -> Vec<(usize, Action<OperatorOp>)> {
    let mut rng = SeededRng::new(seed);
    let mut state = FleetState::default();
    let mut lagging = state.clone();
    let mut history = Vec::new();
    let mut open: Vec<Option<OperatorOp>> = vec![None; 3];
    let mut known_revisions = [0; 3];
    let (mut next_id, mut sends) = (0, 0);
    let mut delayed: Vec<ChangeCommand> = Vec::new();
    while history.len() < 70 {
        let operator_index = rng.below(3) as usize;
        let Some(operation) = open[operator_index].clone() else {
            let operation = if rng.chance(40) {
                OperatorOp::Read { revision: None }
            } else {
                next_id += 1;
                OperatorOp::Change {
                    id: next_id,
                    base: known_revisions[operator_index],
                    result: None,
                }
            };
            history.push((operator_index, Action::Call(operation.clone())));
            open[operator_index] = Some(operation);
            continue;
        };
        if rng.chance(10) {
            state = FleetState::from_snapshot(&state.to_snapshot()).unwrap();
        }
        if rng.chance(30) {
            lagging = state.clone();
        }
        // An earlier message arrives once more.
        if rng.chance(15)
            && let Some(again) = rng.take_random(&mut delayed)
        {
            apply(&mut state, &again);
        }
        // The request is lost, or it arrives and the response is lost.
        if rng.chance(20) {
            continue;
        }
        sends += 1;
        let answered = match operation {
            OperatorOp::Read { .. } => {
                let stale = fault == OperatorFault::StaleReads;
                let revision = if stale { &lagging } else { &state }.config().revision;
                known_revisions[operator_index] = revision;
                OperatorOp::Read {
                    revision: Some(revision),
                }
            }
            OperatorOp::Change { id, base, .. } => {
                let mut wanted = change(&format!("c{id}"), base, add_one(id));
                if fault == OperatorFault::ForgetsOutcomes {
                    wanted = change(&format!("c{id}-{sends}"), base, add_one(sends + 1000));
                }
                if fault == OperatorFault::IgnoresBase {
                    wanted.base_revision = state.config().revision;
                }
                delayed.push(wanted.clone());
                let result = ChangeResult::from(apply(&mut state, &wanted));
                OperatorOp::Change {
                    id,
                    base,
                    result: Some(result),
                }
            }
        };
        if rng.chance(30) {
            continue;
        }
        history.push((operator_index, Action::Response(answered)));
        open[operator_index] = None;
    }
    answer_open_operations(history, open, &mut state)
}

/// Completes the operations that are still open, without further losses.
fn answer_open_operations(
    mut history: Vec<(usize, Action<OperatorOp>)>,
    open: Vec<Option<OperatorOp>>,
    state: &mut FleetState,
) -> Vec<(usize, Action<OperatorOp>)> {
    // The checker needs a response for every operation, so each open one gets the response that
    // sending it once more would bring.
    for (operator_index, operation) in open.into_iter().enumerate() {
        let Some(operation) = operation else { continue };
        let done = match operation {
            OperatorOp::Read { .. } => OperatorOp::Read {
                revision: Some(state.config().revision),
            },
            OperatorOp::Change { id, base, .. } => {
                let wanted = change(&format!("c{id}"), base, add_one(id));
                let result = ChangeResult::from(apply(state, &wanted));
                OperatorOp::Change {
                    id,
                    base,
                    result: Some(result),
                }
            }
        };
        history.push((operator_index, Action::Response(done)));
    }
    history
}

/// Operators could get responses that contradict each other when messages are lost, repeated and
/// reordered while leaders change.
#[test]
fn operator_histories_are_linearizable() {
    let mut operations = 0;
    for seed in 0..300 {
        let history = operator_history(seed, OperatorFault::None);
        operations += history.len() / 2;
        let history = History::from_actions(history);
        assert!(
            WGLChecker::<OperatorSpec>::is_linearizable(history),
            "seed {seed}"
        );
    }
    println!("{operations} operations in 300 schedules");
}

/// The linearizability check must detect each injected fault; otherwise a passing run proves
/// nothing.
#[test]
fn history_check_detects_each_fault() {
    for fault in [
        OperatorFault::ForgetsOutcomes,
        OperatorFault::IgnoresBase,
        OperatorFault::StaleReads,
    ] {
        let detected = (0..40).filter(|seed| {
            let history = History::from_actions(operator_history(*seed, fault));
            !WGLChecker::<OperatorSpec>::is_linearizable(history)
        });
        let detected = detected.count();
        println!("{fault:?}: detected in {detected} of 40 schedules");
        assert!(
            detected > 10,
            "{fault:?} detected in {detected} of 40 schedules"
        );
    }
}
