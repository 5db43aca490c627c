use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use ragwortroad_standin::RunRecord;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CallKind,
    CallRecord,
    ClientOutcome,
    LatencySummary,
    RunViolation,
    latency_set::LatencySet,
    verify_run, //
};

/// Results of a load run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunReport {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Seconds from the start of the run to the last response.
    pub seconds: f64,
    /// Requests by kind and outcome.
    pub outcomes: Vec<OutcomeCount>,
    /// Time from the due time of a streamed chat to its first token.
    pub first_token: LatencySummary,
    /// Time between consecutive tokens of a stream, as seen by clients.
    pub token_gap: LatencySummary,
    /// Time from the due time of a chat that is not streamed to its complete response.
    pub whole_chat: LatencySummary,
    /// Time from the due time of a service request to its complete response.
    pub service: LatencySummary,
    /// Attempts beyond the first of each request.
    pub resends: u64,
    /// Fraction of the prompt tokens of later chat turns that engines had in their prefix caches.
    pub cache_reuse: f64,
    /// Violated guarantees; filled by [`RunReport::verify`].
    pub violations: Vec<RunViolation>,
    /// Records of all requests, for the checks.
    #[serde(skip)]
    pub notes: Vec<CallRecord>,
}

/// Number of requests of one kind with one outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeCount {
    /// Kind of the requests.
    pub kind: CallKind,
    /// Outcome: `answered`, `broken`, `unreachable`, `wrong/` and the fault, or a refusal's
    /// outcome and code.
    pub end: String,
    /// Number of requests.
    pub count: u64,
}

impl RunReport {
    pub(crate) fn new(
        seed: u64,
        elapsed: Duration,
        notes: Vec<CallRecord>,
        latencies: &LatencySet,
    ) -> Self {
        Self {
            seed,
            seconds: elapsed.as_secs_f64(),
            outcomes: count_outcomes(&notes),
            first_token: (&latencies.first_token).into(),
            token_gap: (&latencies.token_gap).into(),
            whole_chat: (&latencies.whole_chat).into(),
            service: (&latencies.service).into(),
            resends: notes
                .iter()
                .map(|call| call.attempts.len().saturating_sub(1) as u64)
                .sum(),
            cache_reuse: cache_reuse(&notes),
            violations: Vec::new(),
            notes,
        }
    }

    /// Compares the requests with the endpoints' records, fills [`RunReport::violations`], and
    /// returns whether there are none.
    pub fn verify(&mut self, records: &[RunRecord]) -> bool {
        self.violations = verify_run(&self.notes, records);
        self.violations.is_empty()
    }

    /// Total number of requests.
    pub fn calls(&self) -> u64 {
        self.outcomes.iter().map(|outcome| outcome.count).sum()
    }

    /// Number of answered requests.
    pub fn answered(&self) -> u64 {
        let answered = |outcome: &&OutcomeCount| outcome.end == ANSWERED;
        let ends = self.outcomes.iter().filter(answered);
        ends.map(|outcome| outcome.count).sum()
    }

    /// Returns the report as indented JSON; on an error, logs it and returns `{}`.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_else(|error| {
            tracing::error!(%error, "cannot serialize the run report as JSON");
            "{}".to_owned()
        })
    }
}

const ANSWERED: &str = "answered";

fn count_outcomes(notes: &[CallRecord]) -> Vec<OutcomeCount> {
    let mut counts: BTreeMap<(CallKind, String), u64> = BTreeMap::new();
    for call in notes {
        *counts.entry((call.kind, end_name(&call.end))).or_insert(0) += 1;
    }
    let outcome_count = |((kind, end), count)| OutcomeCount { kind, end, count };
    counts.into_iter().map(outcome_count).collect()
}

fn end_name(end: &ClientOutcome) -> String {
    match end {
        ClientOutcome::Answered => ANSWERED.to_owned(),
        ClientOutcome::Refused(outcome, code) => format!("{outcome:?}/{code:?}"),
        ClientOutcome::Wrong(fault) => format!("wrong/{fault:?}"),
        ClientOutcome::Broken(_) => "broken".to_owned(),
        ClientOutcome::Unreachable => "unreachable".to_owned(),
    }
}

fn cache_reuse(notes: &[CallRecord]) -> f64 {
    let returning = notes
        .iter()
        .filter(|call| call.kind == CallKind::ReturnTurn && call.end == ClientOutcome::Answered);
    let (cached, total) = returning.fold((0_u64, 0_u64), |(cached, total), call| {
        (
            cached + u64::from(call.cached_tokens),
            total + u64::from(call.prompt_tokens),
        )
    });
    match total {
        0 => 0.0,
        _ => cached as f64 / total as f64,
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (calls, answered) = (self.calls(), self.answered());
        writeln!(
            formatter,
            "{calls} calls in {:.1} s, {answered} answered, {} resent (seed {})",
            self.seconds, self.resends, self.seed
        )?;
        for outcome in &self.outcomes {
            let kind = format!("{:?}", outcome.kind);
            writeln!(
                formatter,
                "  {kind:<12} {:<28} {}",
                outcome.end, outcome.count
            )?;
        }
        let summaries = [
            ("first token", &self.first_token),
            ("token gap", &self.token_gap),
            ("whole chat", &self.whole_chat),
            ("service", &self.service),
        ];
        for (name, summary) in summaries {
            writeln!(
                formatter,
                "  {name:<12} p50 {:>9} us  p95 {:>9} us  p99 {:>9} us  ({})",
                summary.p50_us, summary.p95_us, summary.p99_us, summary.count
            )?;
        }
        writeln!(
            formatter,
            "  cache reuse  {:.1} %",
            self.cache_reuse * 100.0
        )?;
        for violation in &self.violations {
            writeln!(formatter, "  VIOLATION: {violation}")?;
        }
        Ok(())
    }
}
