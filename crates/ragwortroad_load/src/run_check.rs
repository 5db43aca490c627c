use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    fmt, //
};

use ragwortroad_standin::{
    RunRecord,
    RunStatus, //
};
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CallKind,
    CallRecord,
    ClientOutcome,
    ResponseFault, //
};

/// A violation of a guarantee that the fleet gives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunViolation {
    /// A request with an idempotency key ran more than once.
    RanTwice {
        /// The customer.
        customer: String,
        /// The key.
        key: String,
        /// Number of runs.
        runs: usize,
    },
    /// An endpoint ran a request that was refused as not run.
    RanThoughRefused {
        /// The request's id.
        request_id: String,
        /// The endpoint.
        endpoint: String,
    },
    /// A booking was answered that no endpoint ran.
    AnsweredNotRun {
        /// The customer.
        customer: String,
        /// The key.
        key: String,
    },
    /// Two responses to the same idempotency key differ.
    AnswersDiffer {
        /// The customer.
        customer: String,
        /// The key.
        key: String,
    },
    /// A client got a response that is incomplete or belongs to another request.
    WrongAnswer {
        /// The customer.
        customer: String,
        /// What is wrong with the response.
        fault: ResponseFault,
    },
    /// An endpoint got a request under another customer's name.
    WrongCustomer {
        /// The request's id.
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

/// A customer's name and an idempotency key.
type KeyName = (String, String);

/// Compares the clients' records with the endpoints' records and returns all violations.
pub fn verify_run(calls: &[CallRecord], records: &[RunRecord]) -> Vec<RunViolation> {
    let mut violations = Vec::new();
    let runs = count_runs(records);
    check_once(&runs, &mut violations);
    check_refusals(calls, records, &mut violations);
    check_bookings(calls, &runs, &mut violations);
    check_responses(calls, &mut violations);
    check_customers(calls, records, &mut violations);
    violations
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

fn check_once(runs: &BTreeMap<KeyName, usize>, violations: &mut Vec<RunViolation>) {
    for ((customer, key), count) in runs.iter().filter(|(_, count)| **count > 1) {
        violations.push(RunViolation::RanTwice {
            customer: customer.clone(),
            key: key.clone(),
            runs: *count,
        });
    }
}

fn check_refusals(calls: &[CallRecord], records: &[RunRecord], violations: &mut Vec<RunViolation>) {
    let refused: HashSet<&str> = calls
        .iter()
        .flat_map(|call| &call.attempts)
        .filter(|attempt| attempt.outcome == Some(RequestOutcome::NotRun))
        .filter_map(|attempt| attempt.request_id.as_deref())
        .collect();
    for record in records {
        if refused.contains(record.request_id.as_str()) {
            violations.push(RunViolation::RanThoughRefused {
                request_id: record.request_id.clone(),
                endpoint: record.endpoint.clone(),
            });
        }
    }
}

fn check_bookings(
    calls: &[CallRecord],
    runs: &BTreeMap<KeyName, usize>,
    violations: &mut Vec<RunViolation>,
) {
    let mut hashes: HashMap<KeyName, u64> = HashMap::new();
    for call in calls {
        let is_booking = matches!(call.kind, CallKind::Booking | CallKind::Resend);
        let (true, ClientOutcome::Answered, Some(key)) = (is_booking, &call.end, &call.key) else {
            continue;
        };
        let customer = call.customer.clone();
        let name = (customer.clone(), key.clone());
        let key = key.clone();
        if !runs.contains_key(&name) {
            violations.push(RunViolation::AnsweredNotRun { customer, key });
            continue;
        }
        let Some(hash) = call.answer_hash else {
            continue;
        };
        if *hashes.entry(name).or_insert(hash) != hash {
            violations.push(RunViolation::AnswersDiffer { customer, key });
        }
    }
}

fn check_responses(calls: &[CallRecord], violations: &mut Vec<RunViolation>) {
    for call in calls {
        if let ClientOutcome::Wrong(fault) = &call.end {
            violations.push(RunViolation::WrongAnswer {
                customer: call.customer.clone(),
                fault: *fault,
            });
        }
    }
}

fn check_customers(
    calls: &[CallRecord],
    records: &[RunRecord],
    violations: &mut Vec<RunViolation>,
) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for call in calls {
        let ids = call
            .attempts
            .iter()
            .filter_map(|attempt| attempt.request_id.as_deref());
        owners.extend(ids.map(|id| (id, call.customer.as_str())));
    }
    for record in records
        .iter()
        .filter(|record| record.end != RunStatus::Running)
    {
        let owner = owners.get(record.request_id.as_str());
        if owner.is_some_and(|owner| *owner != record.customer) {
            violations.push(RunViolation::WrongCustomer {
                request_id: record.request_id.clone(),
            });
        }
    }
}
