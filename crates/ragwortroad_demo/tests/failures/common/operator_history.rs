use std::{
    collections::BTreeMap,
    time::Instant, //
};

use ragwortroad_demo::prelude::*;
use serde_json::Value;
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

/// One change as its operator saw it.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRecord {
    pub(crate) op: ChangeOperation,
    pub(crate) called: Instant,
    pub(crate) answered: Instant,
    pub(crate) answer: LineResponse,
}

/// A change and what was decided on it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ChangeOperation {
    pub(crate) id: String,
    pub(crate) base: u64,
    pub(crate) end: ObservedOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ObservedOutcome {
    /// Accepted as this revision.
    Accepted(u64),
    /// Refused, since this revision was there already.
    Conflict(u64),
    /// Nobody can tell yet.
    Unknown,
}

/// A register that moves from one revision to the next; a change's first outcome stays.
struct RevisionSpec;

impl Specification for RevisionSpec {
    type State = (u64, BTreeMap<String, (u64, bool)>);
    type Operation = ChangeOperation;

    fn init() -> Self::State {
        (0, BTreeMap::new())
    }

    fn apply(operation: &ChangeOperation, state: &Self::State) -> (bool, Self::State) {
        let (revision, mut outcomes) = state.clone();
        let told = match operation.end {
            ObservedOutcome::Accepted(told) => (told, true),
            ObservedOutcome::Conflict(told) => (told, false),
            ObservedOutcome::Unknown => return (false, state.clone()),
        };
        if let Some(first) = outcomes.get(&operation.id) {
            return (*first == told, state.clone());
        }
        let right = match operation.base == revision {
            true => (revision + 1, true),
            false => (revision, false),
        };
        outcomes.insert(operation.id.clone(), right);
        (told == right, (right.0, outcomes))
    }
}

/// Issues a change on a revision and writes down what came of it.
pub(crate) fn issue(operator: &OperatorClient, edit: &str, base: u64, id: &str) -> ChangeRecord {
    let line = format!("{edit} on revision {base}");
    let called = Instant::now();
    let answer = operator.change(&line, id).unwrap();
    let answered = Instant::now();
    let op = ChangeOperation {
        id: id.to_owned(),
        base,
        end: change_end(&answer),
    };
    ChangeRecord {
        op,
        called,
        answered,
        answer,
    }
}

fn change_end(answer: &LineResponse) -> ObservedOutcome {
    let refused = answer.body.pointer("/refused/conflict/revision");
    let accepted = answer.body.get("revision").and_then(Value::as_u64);
    match (accepted, refused.and_then(Value::as_u64)) {
        (Some(revision), _) => ObservedOutcome::Accepted(revision),
        (None, Some(revision)) => ObservedOutcome::Conflict(revision),
        (None, None) => ObservedOutcome::Unknown,
    }
}

/// Whether one order of all decided changes fits the rule, from `base` on.
pub(crate) fn is_linearizable(notes: &[ChangeRecord], base: u64) -> bool {
    let mut actions = Vec::new();
    for (place, note) in notes.iter().enumerate() {
        let mut op = note.op.clone();
        // Histories start at 0.
        op.base -= base;
        op.end = match op.end {
            ObservedOutcome::Accepted(revision) => ObservedOutcome::Accepted(revision - base),
            ObservedOutcome::Conflict(revision) => ObservedOutcome::Conflict(revision - base),
            ObservedOutcome::Unknown => continue,
        };
        actions.push((note.called, place, Action::Call(op.clone())));
        actions.push((note.answered, place, Action::Response(op)));
    }
    actions.sort_by_key(|(at, place, _)| (*at, *place));
    let actions = actions.into_iter();
    let history: Vec<_> = actions.map(|(_, place, action)| (place, action)).collect();
    history.is_empty()
        || WGLChecker::<RevisionSpec>::is_linearizable(History::from_actions(history))
}
