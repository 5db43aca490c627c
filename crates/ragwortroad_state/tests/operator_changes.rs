//! Operators' changes: races, resends, catching up, and histories that must be linearizable.
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
    SeededDraw,
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

/// Guards against changes that overwrite another operator's unseen.
#[test]
fn of_two_changes_on_one_base_one_wins_and_the_other_sees_it() {
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
    // Both lost their answers; the leader changed and restarted; both send again.
    let mut state = FleetState::from_snapshot(&state.to_snapshot()).unwrap();
    assert_eq!(apply(&mut state, &second), refused);
    assert_eq!(
        apply(&mut state, &first),
        ChangeOutcome::Accepted { revision: 1 }
    );
    // Another change under a name that was used is none of the two.
    let other = change("first", 1, vec![add_customer("east")]);
    assert_eq!(apply(&mut state, &other), ChangeOutcome::IdReused);
}

/// Guards against changes of which only a part takes effect.
#[test]
fn changes_are_whole_or_refused() {
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

/// Guards against ways back from a rollout that leave shares behind.
#[test]
fn a_rollout_goes_step_by_step_and_back_in_one_change() {
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

/// Guards against followers with gaps, and late answers that take a change back.
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
        // The same answer again changes nothing.
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
    let mut astray = past[newest as usize - 1].clone();
    astray
        .customers
        .insert("odd".to_owned(), CustomerEntry::default());
    assert!(matches!(
        astray.apply_update(gap),
        Err(UpdateError::Diverged { .. })
    ));
}

/// One operator's operation, with its result where it has come.
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
    /// The revision at the time, and the change that won.
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

/// What a single place that handles one operation after the other would answer.
struct OperatorSpec;

impl Specification for OperatorSpec {
    /// Names of the accepted changes, in order.
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

/// A fault put into the state's surroundings, which the check must notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OperatorFault {
    None,
    /// Outcomes are lost with the leader: a resend is taken for a new change.
    ForgetsOutcomes,
    /// The base is not compared.
    IgnoresBase,
    /// Reads are answered by a member that lags.
    StaleReads,
}

/// Three operators at work over links that lose, repeat and reorder; leaders change.
fn operator_history(seed: u64, fault: OperatorFault) -> Vec<(usize, Action<OperatorOp>)> {
    let mut draw = SeededDraw::new(seed);
    let mut state = FleetState::default();
    let mut lagging = state.clone();
    let mut history = Vec::new();
    let mut open: Vec<Option<OperatorOp>> = vec![None; 3];
    let mut known = [0; 3];
    let (mut next_id, mut sends) = (0, 0);
    let mut late: Vec<ChangeCommand> = Vec::new();
    while history.len() < 70 {
        let place = draw.below(3) as usize;
        let Some(operation) = open[place].clone() else {
            let operation = if draw.chance(40) {
                OperatorOp::Read { revision: None }
            } else {
                next_id += 1;
                OperatorOp::Change {
                    id: next_id,
                    base: known[place],
                    result: None,
                }
            };
            history.push((place, Action::Call(operation.clone())));
            open[place] = Some(operation);
            continue;
        };
        if draw.chance(10) {
            state = FleetState::from_snapshot(&state.to_snapshot()).unwrap();
        }
        if draw.chance(30) {
            lagging = state.clone();
        }
        // Something sent before arrives once more.
        if draw.chance(15)
            && let Some(again) = draw.take(&mut late)
        {
            apply(&mut state, &again);
        }
        // The question is lost, or it arrives and the answer is lost.
        if draw.chance(20) {
            continue;
        }
        sends += 1;
        let answered = match operation {
            OperatorOp::Read { .. } => {
                let stale = fault == OperatorFault::StaleReads;
                let revision = if stale { &lagging } else { &state }.config().revision;
                known[place] = revision;
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
                late.push(wanted.clone());
                let result = ChangeResult::from(apply(&mut state, &wanted));
                OperatorOp::Change {
                    id,
                    base,
                    result: Some(result),
                }
            }
        };
        if draw.chance(30) {
            continue;
        }
        history.push((place, Action::Response(answered)));
        open[place] = None;
    }
    close(history, open, &mut state)
}

/// Answers what is still open, without further losses.
fn close(
    mut history: Vec<(usize, Action<OperatorOp>)>,
    open: Vec<Option<OperatorOp>>,
    state: &mut FleetState,
) -> Vec<(usize, Action<OperatorOp>)> {
    // An operation without an answer says nothing: it is taken out where it had no effect, and
    // otherwise gets the answer that a last resend would bring.
    for (place, operation) in open.into_iter().enumerate() {
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
        history.push((place, Action::Response(done)));
    }
    history
}

/// Guards against answers to operators that cannot all be true.
#[test]
fn operators_histories_are_linearizable() {
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

/// The check above is worth something only if it notices a state that goes wrong.
#[test]
fn the_history_check_notices_each_fault() {
    for fault in [
        OperatorFault::ForgetsOutcomes,
        OperatorFault::IgnoresBase,
        OperatorFault::StaleReads,
    ] {
        let noticed = (0..40).filter(|seed| {
            let history = History::from_actions(operator_history(*seed, fault));
            !WGLChecker::<OperatorSpec>::is_linearizable(history)
        });
        let noticed = noticed.count();
        println!("{fault:?}: noticed in {noticed} of 40 schedules");
        assert!(
            noticed > 10,
            "{fault:?} noticed in {noticed} of 40 schedules"
        );
    }
}
