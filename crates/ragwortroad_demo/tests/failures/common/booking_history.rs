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

/// One operation on an idempotency key, which took effect between two times.
#[derive(Clone, Debug)]
pub(crate) struct KeyEvent {
    pub(crate) what: KeyOperation,
    pub(crate) from: Instant,
    /// `None` if the operation has not ended.
    pub(crate) until: Option<Instant>,
}

/// An operation on an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyOperation {
    /// An endpoint ran the booking.
    Run(RunId),
    /// A client got the response of this run.
    Answer(RunId),
}

/// Sequential specification of a key: it runs at most once, and every later response is that of
/// the run.
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

/// Returns the operations on each key, from the records of endpoints and clients.
pub(crate) fn key_events(calls: &[TestCall], fleet: &SmallFleet) -> Vec<(String, Vec<KeyEvent>)> {
    let keys: BTreeSet<&str> = calls
        .iter()
        .filter_map(|call| call.record.key.as_deref())
        .collect();
    keys.into_iter()
        .map(|key| (key.to_owned(), events_of(key, calls, fleet)))
        .collect()
}

fn events_of(key: &str, calls: &[TestCall], fleet: &SmallFleet) -> Vec<KeyEvent> {
    let mut events = Vec::new();
    for service in fleet.services.iter().flatten() {
        let start = service.started();
        for (index, record) in service.records().iter().enumerate() {
            if record.idempotency_key.as_deref() != Some(key) {
                continue;
            }
            // Times are truncated to milliseconds, so the end may be up to 1 ms later.
            let end = record.ended_ms.map(|ended| ended + 1);
            events.push(KeyEvent {
                what: KeyOperation::Run((record.endpoint.clone(), index as u64)),
                from: start + Duration::from_millis(record.began_ms),
                until: end.map(|ended| start + Duration::from_millis(ended)),
            });
        }
    }
    for call in calls {
        if let (true, Some(run)) = (call.record.key.as_deref() == Some(key), &call.run) {
            events.push(KeyEvent {
                what: KeyOperation::Answer(run.clone()),
                from: call.called,
                until: Some(call.answered),
            });
        }
    }
    events
}

/// Whether the history of one key is linearizable by [`BookingSpec`].
pub(crate) fn is_linearizable(events: &[KeyEvent]) -> bool {
    let mut actions = Vec::new();
    for (index, event) in events.iter().enumerate() {
        let end = (event.until.is_none(), event.until);
        actions.push((
            (false, Some(event.from)),
            index,
            Action::Call(event.what.clone()),
        ));
        actions.push((end, index, Action::Response(event.what.clone())));
    }
    actions.sort_by_key(|(at, index, _)| (*at, *index));
    let actions = actions.into_iter();
    let history: Vec<_> = actions.map(|(_, index, action)| (index, action)).collect();
    history.is_empty() || WGLChecker::<BookingSpec>::is_linearizable(History::from_actions(history))
}

/// Returns the keys whose history is not linearizable.
pub(crate) fn nonlinearizable_keys(calls: &[TestCall], fleet: &SmallFleet) -> Vec<String> {
    let events = key_events(calls, fleet).into_iter();
    events
        .filter(|(_, events)| !is_linearizable(events))
        .map(|(key, _)| key)
        .collect()
}
