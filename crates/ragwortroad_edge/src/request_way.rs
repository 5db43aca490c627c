use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use tokio::time::Instant;

use crate::{
    edge_state::EdgeShared,
    endpoint_call::{
        CallEnd,
        EventAnswer,
        WholeAnswer, //
    },
    endpoint_choice::ChosenEndpoint,
    refusal_reason::RefusalReason,
    request_plan::RequestPlan, //
};

/// Endpoints that are dialled in vain before a request is refused.
///
/// A failure to connect costs up to the connect timeout; after several, a refusal that names a time
/// serves the caller better than further attempts.
const MAX_DIALS: u32 = 3;

/// What has become of a request so far.
#[derive(Default)]
pub(crate) struct RequestWay {
    pub(crate) tried: Vec<EndpointKey>,
    /// Endpoints that were sent the request.
    pub(crate) attempts: u32,
    /// Endpoints that could not be reached.
    pub(crate) dials: u32,
    /// Whether some endpoint may have run it.
    pub(crate) may_have_run: bool,
}

/// What comes next.
pub(crate) enum WayStep {
    Again,
    Refuse(RefusalReason),
    Answer(WholeAnswer),
    Stream(Box<EventAnswer>),
}

impl RequestWay {
    /// Takes what came of one endpoint, and says what comes next.
    pub(crate) fn take(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        chosen: &ChosenEndpoint,
        end: CallEnd,
    ) -> WayStep {
        let (reason, refusal) = match end {
            CallEnd::Whole(answer) => return self.take_answer(shared, plan, chosen, answer),
            CallEnd::Events(run) => {
                self.attempts += 1;
                return WayStep::Stream(run);
            }
            CallEnd::NotSent { reason, .. } => {
                self.dials += 1;
                self.note(plan, chosen, &reason);
                return match self.dials < MAX_DIALS {
                    true => WayStep::Again,
                    false => WayStep::Refuse(RefusalReason::NoEndpoint),
                };
            }
            CallEnd::TimedOut => {
                self.may_have_run = true;
                return WayStep::Refuse(RefusalReason::TimedOut);
            }
            CallEnd::Silent => {
                self.may_have_run = true;
                self.attempts += 1;
                self.note(plan, chosen, "silent");
                return WayStep::Again;
            }
            CallEnd::NotRun => ("not run".to_owned(), RefusalReason::NotRun),
            CallEnd::Misdirected => (
                "another endpoint is there".to_owned(),
                RefusalReason::NotRun,
            ),
            CallEnd::Lost { reason, .. } => {
                self.may_have_run = true;
                (reason, RefusalReason::Unknown)
            }
        };
        self.attempts += 1;
        metrics::counter!(metric_names::FAILED_ATTEMPTS, "reason" => refusal.label()).increment(1);
        self.note(plan, chosen, &reason);
        let may_repeat = !self.may_have_run || plan.rule().is_repeatable();
        match may_repeat && self.may_try_again(shared, plan) {
            true => WayStep::Again,
            false => WayStep::Refuse(refusal),
        }
    }

    /// Passes an answer on, unless it is a failure that another endpoint may do better.
    fn take_answer(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        chosen: &ChosenEndpoint,
        answer: WholeAnswer,
    ) -> WayStep {
        self.attempts += 1;
        let is_failure = answer.status.is_server_error();
        if !is_failure || !plan.rule().is_repeatable() || !self.may_try_again(shared, plan) {
            return WayStep::Answer(answer);
        }
        self.may_have_run = true;
        self.note(plan, chosen, answer.status.as_str());
        WayStep::Again
    }

    /// Whether a request under way at an endpoint may be sent to another one instead.
    pub(crate) fn may_leave(&self, shared: &EdgeShared, plan: &RequestPlan) -> bool {
        let is_last = self.attempts + 1 >= plan.rule().max_attempts;
        plan.rule().is_repeatable() && !is_last && self.may_try_again(shared, plan)
    }

    fn may_try_again(&self, shared: &EdgeShared, plan: &RequestPlan) -> bool {
        let is_on = shared.settings.mechanisms.repeats;
        let is_within = is_on && self.attempts < plan.rule().max_attempts;
        let has_time = Instant::now() < plan.deadline;
        is_within && has_time && {
            let now = shared.now();
            let mut state = shared.state.borrow_mut();
            let budget = state.budget_mut(&plan.service, &shared.settings, now);
            let may = budget.withdraw();
            let outcome = if may { "made" } else { "over_budget" };
            metrics::counter!(metric_names::REPEATS, "outcome" => outcome).increment(1);
            may
        }
    }

    fn note(&self, plan: &RequestPlan, chosen: &ChosenEndpoint, reason: &str) {
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
