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

/// What a load run showed.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunReport {
    /// The seed of its arrivals.
    pub seed: u64,
    /// Seconds from the first request due to the last answer.
    pub seconds: f64,
    /// Calls by what they were and how they ended.
    pub outcomes: Vec<OutcomeCount>,
    /// From when a stream was due to its first token.
    pub first_token: LatencySummary,
    /// Between two tokens of a stream, as callers saw them.
    pub token_gap: LatencySummary,
    /// From when a chat that is not streamed was due to its whole answer.
    pub whole_chat: LatencySummary,
    /// From when a service call was due to its whole answer.
    pub service: LatencySummary,
    /// Sendings beyond each call's first.
    pub resends: u64,
    /// Of the prompt tokens of returning turns, the part that engines had in their caches.
    pub cache_reuse: f64,
    /// What must never happen, and did; filled by [`RunReport::verify`].
    pub violations: Vec<RunViolation>,
    /// Every call, for checks.
    #[serde(skip)]
    pub notes: Vec<CallRecord>,
}

/// How many calls of one kind ended in one way.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeCount {
    /// What they were.
    pub kind: CallKind,
    /// How they ended: `answered`, `broken`, or a refusal's outcome and code.
    pub end: String,
    /// How many.
    pub count: u64,
}

impl RunReport {
    pub(crate) fn new(
        seed: u64,
        took: Duration,
        notes: Vec<CallRecord>,
        latencies: &LatencySet,
    ) -> Self {
        Self {
            seed,
            seconds: took.as_secs_f64(),
            outcomes: count_outcomes(&notes),
            first_token: (&latencies.first_token).into(),
            token_gap: (&latencies.token_gap).into(),
            whole_chat: (&latencies.whole_chat).into(),
            service: (&latencies.service).into(),
            resends: notes
                .iter()
                .map(|note| note.attempts.len().saturating_sub(1) as u64)
                .sum(),
            cache_reuse: cache_reuse(&notes),
            violations: Vec::new(),
            notes,
        }
    }

    /// Compares the calls with what endpoints wrote down; true if nothing is amiss.
    pub fn verify(&mut self, records: &[RunRecord]) -> bool {
        self.violations = verify_run(&self.notes, records);
        self.violations.is_empty()
    }

    /// Calls in all.
    pub fn calls(&self) -> u64 {
        self.outcomes.iter().map(|outcome| outcome.count).sum()
    }

    /// Calls that got their answer.
    pub fn answered(&self) -> u64 {
        let answered = |outcome: &&OutcomeCount| outcome.end == ANSWERED;
        let ends = self.outcomes.iter().filter(answered);
        ends.map(|outcome| outcome.count).sum()
    }

    /// The report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_else(|error| {
            tracing::error!(%error, "a report could not be written as JSON");
            "{}".to_owned()
        })
    }
}

const ANSWERED: &str = "answered";

fn count_outcomes(notes: &[CallRecord]) -> Vec<OutcomeCount> {
    let mut counts: BTreeMap<(CallKind, String), u64> = BTreeMap::new();
    for note in notes {
        *counts.entry((note.kind, end_name(&note.end))).or_insert(0) += 1;
    }
    let outcome = |((kind, end), count)| OutcomeCount { kind, end, count };
    counts.into_iter().map(outcome).collect()
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
        .filter(|note| note.kind == CallKind::ReturnTurn && note.end == ClientOutcome::Answered);
    let (cached, total) = returning.fold((0_u64, 0_u64), |(cached, total), note| {
        (
            cached + u64::from(note.cached_tokens),
            total + u64::from(note.prompt_tokens),
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
