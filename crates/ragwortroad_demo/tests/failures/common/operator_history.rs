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

/// One change and its response, as the operator saw them.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRecord {
    pub(crate) operation: ChangeOperation,
    pub(crate) called: Instant,
    pub(crate) answered: Instant,
    pub(crate) response: LineResponse,
}

/// A change and its outcome.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ChangeOperation {
    pub(crate) id: String,
    pub(crate) base: u64,
    pub(crate) end: ObservedOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ObservedOutcome {
    /// The change was accepted as this revision.
    Accepted(u64),
    /// The change was refused, since the configuration was already at this revision.
    Conflict(u64),
    /// The outcome is not known yet.
    Unknown,
}

/// Sequential specification of the configuration: each accepted change increments the revision,
/// and a resent change gets its first outcome.
struct RevisionSpec;

impl Specification for RevisionSpec {
    type State = (u64, BTreeMap<String, (u64, bool)>);
    type Operation = ChangeOperation;

    fn init() -> Self::State {
        (0, BTreeMap::new())
    }

    fn apply(operation: &ChangeOperation, state: &Self::State) -> (bool, Self::State) {
        let (revision, mut outcomes) = state.clone();
        let reported = match operation.end {
            ObservedOutcome::Accepted(reported) => (reported, true),
            ObservedOutcome::Conflict(reported) => (reported, false),
            ObservedOutcome::Unknown => return (false, state.clone()),
        };
        if let Some(first) = outcomes.get(&operation.id) {
            return (*first == reported, state.clone());
        }
        let expected = match operation.base == revision {
            true => (revision + 1, true),
            false => (revision, false),
        };
        outcomes.insert(operation.id.clone(), expected);
        (reported == expected, (expected.0, outcomes))
    }
}

/// Sends a change based on a revision and records the result.
pub(crate) fn issue(operator: &OperatorClient, edit: &str, base: u64, id: &str) -> ChangeRecord {
    let line = format!("{edit} on revision {base}");
    let called = Instant::now();
    let response = operator.change(&line, id).unwrap();
    let answered = Instant::now();
    let operation = ChangeOperation {
        id: id.to_owned(),
        base,
        end: change_end(&response),
    };
    ChangeRecord {
        operation,
        called,
        answered,
        response,
    }
}

fn change_end(response: &LineResponse) -> ObservedOutcome {
    let refused = response.body.pointer("/refused/conflict/revision");
    let accepted = response.body.get("revision").and_then(Value::as_u64);
    match (accepted, refused.and_then(Value::as_u64)) {
        (Some(revision), _) => ObservedOutcome::Accepted(revision),
        (None, Some(revision)) => ObservedOutcome::Conflict(revision),
        (None, None) => ObservedOutcome::Unknown,
    }
}

/// Whether the history of all changes with a known outcome is linearizable by [`RevisionSpec`],
/// starting at revision `base`.
pub(crate) fn is_linearizable(records: &[ChangeRecord], base: u64) -> bool {
    let mut actions = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let mut operation = record.operation.clone();
        // The specification starts at revision 0.
        operation.base -= base;
        operation.end = match operation.end {
            ObservedOutcome::Accepted(revision) => ObservedOutcome::Accepted(revision - base),
            ObservedOutcome::Conflict(revision) => ObservedOutcome::Conflict(revision - base),
            ObservedOutcome::Unknown => continue,
        };
        actions.push((record.called, index, Action::Call(operation.clone())));
        actions.push((record.answered, index, Action::Response(operation)));
    }
    actions.sort_by_key(|(at, index, _)| (*at, *index));
    let actions = actions.into_iter();
    let history: Vec<_> = actions.map(|(_, index, action)| (index, action)).collect();
    history.is_empty()
        || WGLChecker::<RevisionSpec>::is_linearizable(History::from_actions(history))
}
