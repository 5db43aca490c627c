use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use tokio::time::Instant;

use crate::{
    edge_state::EdgeShared,
    endpoint_call::{
        CallOutcome,
        EventStream,
        FullResponse, //
    },
    endpoint_choice::ChosenEndpoint,
    refusal_reason::RefusalReason,
    request_plan::RequestPlan, //
};

/// Endpoints that are dialled in vain before a request is refused.
///
/// A failure to connect costs up to the connect timeout; after several, a refusal that names a time
/// serves the caller better than further attempts.
const MAX_FAILED_DIALS: u32 = 3;

/// What has become of a request so far.
#[derive(Default)]
pub(crate) struct RequestProgress {
    pub(crate) tried: Vec<EndpointKey>,
    /// Endpoints that were sent the request.
    pub(crate) attempts: u32,
    /// Endpoints that could not be reached.
    pub(crate) failed_dials: u32,
    /// Whether some endpoint may have run it.
    pub(crate) may_have_run: bool,
}

/// What comes next.
pub(crate) enum NextStep {
    Retry,
    Refuse(RefusalReason),
    Respond(FullResponse),
    Stream(Box<EventStream>),
}

impl RequestProgress {
    /// Takes what came of one endpoint, and says what comes next.
    pub(crate) fn record(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        chosen: &ChosenEndpoint,
        outcome: CallOutcome,
    ) -> NextStep {
        let (reason, refusal) = match outcome {
            CallOutcome::Full(response) => {
                return self.handle_response(shared, plan, chosen, response);
            }
            CallOutcome::Events(upstream) => {
                self.attempts += 1;
                return NextStep::Stream(upstream);
            }
            CallOutcome::NotSent { reason, .. } => {
                self.failed_dials += 1;
                self.log_failure(plan, chosen, &reason);
                return match self.failed_dials < MAX_FAILED_DIALS {
                    true => NextStep::Retry,
                    false => NextStep::Refuse(RefusalReason::NoEndpoint),
                };
            }
            CallOutcome::TimedOut => {
                self.may_have_run = true;
                return NextStep::Refuse(RefusalReason::TimedOut);
            }
            CallOutcome::NoResponse => {
                self.may_have_run = true;
                self.attempts += 1;
                self.log_failure(plan, chosen, "silent");
                return NextStep::Retry;
            }
            CallOutcome::NotRun => ("not run".to_owned(), RefusalReason::NotRun),
            CallOutcome::Misdirected => (
                "another endpoint is there".to_owned(),
                RefusalReason::NotRun,
            ),
            CallOutcome::Lost { reason, .. } => {
                self.may_have_run = true;
                (reason, RefusalReason::Unknown)
            }
        };
        self.attempts += 1;
        metrics::counter!(metric_names::FAILED_ATTEMPTS, "reason" => refusal.label()).increment(1);
        self.log_failure(plan, chosen, &reason);
        let may_repeat = !self.may_have_run || plan.rule().is_repeatable();
        match may_repeat && self.try_retry(shared, plan) {
            true => NextStep::Retry,
            false => NextStep::Refuse(refusal),
        }
    }

    /// Passes an answer on, unless it is a failure that another endpoint may do better.
    fn handle_response(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        chosen: &ChosenEndpoint,
        response: FullResponse,
    ) -> NextStep {
        self.attempts += 1;
        let is_failure = response.status.is_server_error();
        if !is_failure || !plan.rule().is_repeatable() || !self.try_retry(shared, plan) {
            return NextStep::Respond(response);
        }
        self.may_have_run = true;
        self.log_failure(plan, chosen, response.status.as_str());
        NextStep::Retry
    }

    /// Whether a request under way at an endpoint may be sent to another one instead.
    pub(crate) fn may_abandon(&self, shared: &EdgeShared, plan: &RequestPlan) -> bool {
        let is_last = self.attempts + 1 >= plan.rule().max_attempts;
        plan.rule().is_repeatable() && !is_last && self.try_retry(shared, plan)
    }

    fn try_retry(&self, shared: &EdgeShared, plan: &RequestPlan) -> bool {
        let is_enabled = shared.settings.mechanisms.repeats;
        let has_attempts_left = is_enabled && self.attempts < plan.rule().max_attempts;
        let has_time = Instant::now() < plan.deadline;
        has_attempts_left && has_time && {
            let now = shared.now();
            let mut state = shared.state.borrow_mut();
            let budget = state.budget_mut(&plan.service, &shared.settings, now);
            let may_retry = budget.spend();
            let outcome = if may_retry { "made" } else { "over_budget" };
            metrics::counter!(metric_names::REPEATS, "outcome" => outcome).increment(1);
            may_retry
        }
    }

    fn log_failure(&self, plan: &RequestPlan, chosen: &ChosenEndpoint, reason: &str) {
        tracing::info!(
            request = plan.id,
            endpoint = chosen.name,
            address = %chosen.address,
            load = chosen.load,
            load_age_ms = chosen.load_age_ms(),
            version = plan.map.config().version,
            attempts = self.attempts,
            reason,
            "attempt failed"
        );
    }
}
