use std::{
    collections::BTreeSet,
    time::{
        Duration,
        Instant, //
    },
};

use ragwortroad_demo::prelude::*;
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

use crate::common::client::{
    RunId,
    TestCall, //
};

/// What happened to one key at some time between two moments.
#[derive(Clone, Debug)]
pub(crate) struct KeyEvent {
    pub(crate) what: KeyOperation,
    pub(crate) from: Instant,
    /// Nothing if it is not over.
    pub(crate) until: Option<Instant>,
}

/// What can happen to a key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyOperation {
    /// An endpoint ran the booking.
    Run(RunId),
    /// A caller was given the answer of this run.
    Answer(RunId),
}

/// A key runs once at most, and after that every answer is that run's.
struct BookingSpec;

impl Specification for BookingSpec {
    type State = Option<RunId>;
    type Operation = KeyOperation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &KeyOperation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            KeyOperation::Run(name) => (state.is_none(), Some(name.clone())),
            KeyOperation::Answer(name) => (state.as_ref() == Some(name), state.clone()),
        }
    }
}

/// All that happened to each key, by what endpoints and callers wrote down.
pub(crate) fn key_events(calls: &[TestCall], fleet: &SmallFleet) -> Vec<(String, Vec<KeyEvent>)> {
    let keys: BTreeSet<&str> = calls
        .iter()
        .filter_map(|call| call.note.key.as_deref())
        .collect();
    keys.into_iter()
        .map(|key| (key.to_owned(), events_of(key, calls, fleet)))
        .collect()
}

fn events_of(key: &str, calls: &[TestCall], fleet: &SmallFleet) -> Vec<KeyEvent> {
    let mut events = Vec::new();
    for service in fleet.services.iter().flatten() {
        let start = service.started();
        for (place, record) in service.records().iter().enumerate() {
            if record.idempotency_key.as_deref() != Some(key) {
                continue;
            }
            // Times are cut to milliseconds, so the end may be a part of one later.
            let end = record.ended_ms.map(|ended| ended + 1);
            events.push(KeyEvent {
                what: KeyOperation::Run((record.endpoint.clone(), place as u64)),
                from: start + Duration::from_millis(record.began_ms),
                until: end.map(|ended| start + Duration::from_millis(ended)),
            });
        }
    }
    for call in calls {
        if let (true, Some(run)) = (call.note.key.as_deref() == Some(key), &call.run) {
            events.push(KeyEvent {
                what: KeyOperation::Answer(run.clone()),
                from: call.called,
                until: Some(call.answered),
            });
        }
    }
    events
}

/// Whether one order of all events, each at one moment within its time, fits the rule.
pub(crate) fn is_linearizable(events: &[KeyEvent]) -> bool {
    let mut actions = Vec::new();
    for (place, event) in events.iter().enumerate() {
        let open = (event.until.is_none(), event.until);
        actions.push((
            (false, Some(event.from)),
            place,
            Action::Call(event.what.clone()),
        ));
        actions.push((open, place, Action::Response(event.what.clone())));
    }
    actions.sort_by_key(|(at, place, _)| (*at, *place));
    let actions = actions.into_iter();
    let history: Vec<_> = actions.map(|(_, place, action)| (place, action)).collect();
    history.is_empty() || WGLChecker::<BookingSpec>::is_linearizable(History::from_actions(history))
}

/// Keys whose history fits no order.
pub(crate) fn nonlinearizable_keys(calls: &[TestCall], fleet: &SmallFleet) -> Vec<String> {
    let events = key_events(calls, fleet).into_iter();
    events
        .filter(|(_, events)| !is_linearizable(events))
        .map(|(key, _)| key)
        .collect()
}
