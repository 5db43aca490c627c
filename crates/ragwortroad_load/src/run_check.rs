use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    fmt, //
};

use ragwortroad_standin::{
    RunRecord, //
    RunStatus,
};
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CallKind,
    CallRecord, //
    ClientOutcome,
    ResponseFault,
};

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunViolation {
    /// A request under an idempotency key ran more than once.
    RanTwice {
        /// The customer.
        customer: String,
        /// The key.
        key: String,
        /// How often it ran.
        runs: usize,
    },
    /// A request refused as not run was seen by an endpoint.
    RanThoughRefused {
        /// The request.
        request_id: String,
        /// The endpoint.
        endpoint: String,
    },
    /// A request was answered that no endpoint ran.
    AnsweredNotRun {
        /// The customer.
        customer: String,
        /// The key.
        key: String,
    },
    /// Two answers under one key differ.
    AnswersDiffer {
        /// The customer.
        customer: String,
        /// The key.
        key: String,
    },
    /// A caller got an answer that is not whole or not its own.
    WrongAnswer {
        /// The customer.
        customer: String,
        /// What is wrong.
        fault: ResponseFault,
    },
    /// A request reached an endpoint under another customer's name.
    WrongCustomer {
        /// The request.
        request_id: String,
    },
}

impl fmt::Display for RunViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanTwice {
                customer,
                key,
                runs,
            } => write!(formatter, "key '{key}' of {customer} ran {runs} times"),
            Self::RanThoughRefused {
                request_id,
                endpoint,
            } => write!(
                formatter,
                "{request_id} was refused as not run and ran at {endpoint}"
            ),
            Self::AnsweredNotRun { customer, key } => {
                write!(
                    formatter,
                    "key '{key}' of {customer} was answered and ran nowhere"
                )
            }
            Self::AnswersDiffer { customer, key } => {
                write!(
                    formatter,
                    "key '{key}' of {customer} got two different answers"
                )
            }
            Self::WrongAnswer { customer, fault } => {
                write!(formatter, "{customer} got a wrong answer: {fault:?}")
            }
            Self::WrongCustomer { request_id } => {
                write!(
                    formatter,
                    "{request_id} reached an endpoint as another customer's"
                )
            }
        }
    }
}

/// A customer's name and its idempotency key.
type KeyName = (String, String);

/// Compares what callers saw with what endpoints wrote down.
pub fn verify_run(notes: &[CallRecord], records: &[RunRecord]) -> Vec<RunViolation> {
    let mut found = Vec::new();
    let runs = count_runs(records);
    check_once(&runs, &mut found);
    check_refusals(notes, records, &mut found);
    check_bookings(notes, &runs, &mut found);
    check_responses(notes, &mut found);
    check_customers(notes, records, &mut found);
    found
}

fn count_runs(records: &[RunRecord]) -> BTreeMap<KeyName, usize> {
    let mut runs = BTreeMap::new();
    for record in records {
        if let Some(key) = &record.idempotency_key {
            *runs
                .entry((record.customer.clone(), key.clone()))
                .or_insert(0) += 1;
        }
    }
    runs
}

fn check_once(runs: &BTreeMap<KeyName, usize>, found: &mut Vec<RunViolation>) {
    for ((customer, key), count) in runs.iter().filter(|(_, count)| **count > 1) {
        found.push(RunViolation::RanTwice {
            customer: customer.clone(),
            key: key.clone(),
            runs: *count,
        });
    }
}

fn check_refusals(notes: &[CallRecord], records: &[RunRecord], found: &mut Vec<RunViolation>) {
    let refused: HashSet<&str> = notes
        .iter()
        .flat_map(|note| &note.attempts)
        .filter(|attempt| attempt.outcome == Some(RequestOutcome::NotRun))
        .filter_map(|attempt| attempt.request_id.as_deref())
        .collect();
    for record in records {
        if refused.contains(record.request_id.as_str()) {
            found.push(RunViolation::RanThoughRefused {
                request_id: record.request_id.clone(),
                endpoint: record.endpoint.clone(),
            });
        }
    }
}

fn check_bookings(
    notes: &[CallRecord],
    runs: &BTreeMap<KeyName, usize>,
    found: &mut Vec<RunViolation>,
) {
    let mut answers: HashMap<KeyName, u64> = HashMap::new();
    for note in notes {
        let booked = matches!(note.kind, CallKind::Booking | CallKind::Resend);
        let (true, ClientOutcome::Answered, Some(key)) = (booked, &note.end, &note.key) else {
            continue;
        };
        let customer = note.customer.clone();
        let name = (customer.clone(), key.clone());
        let key = key.clone();
        if !runs.contains_key(&name) {
            found.push(RunViolation::AnsweredNotRun { customer, key });
            continue;
        }
        let Some(hash) = note.answer_hash else {
            continue;
        };
        if *answers.entry(name).or_insert(hash) != hash {
            found.push(RunViolation::AnswersDiffer { customer, key });
        }
    }
}

fn check_responses(notes: &[CallRecord], found: &mut Vec<RunViolation>) {
    for note in notes {
        if let ClientOutcome::Wrong(fault) = &note.end {
            found.push(RunViolation::WrongAnswer {
                customer: note.customer.clone(),
                fault: *fault,
            });
        }
    }
}

fn check_customers(notes: &[CallRecord], records: &[RunRecord], found: &mut Vec<RunViolation>) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for note in notes {
        let ids = note
            .attempts
            .iter()
            .filter_map(|attempt| attempt.request_id.as_deref());
        owners.extend(ids.map(|id| (id, note.customer.as_str())));
    }
    for record in records
        .iter()
        .filter(|record| record.end != RunStatus::Running)
    {
        let owner = owners.get(record.request_id.as_str());
        if owner.is_some_and(|owner| *owner != record.customer) {
            found.push(RunViolation::WrongCustomer {
                request_id: record.request_id.clone(),
            });
        }
    }
}
