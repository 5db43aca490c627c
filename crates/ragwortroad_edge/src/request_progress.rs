use std::{
    net::SocketAddr,
    time::Duration, //
};

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
    late_call::{
        LateCall,
        LateOutcome, //
    },
    refusal_reason::RefusalReason,
    request_plan::RequestPlan,
    scarce_services::note_contended,
    shutdown_time::outlasts_shutdown, //
};

/// Number of failed connection attempts after which a request is refused.
///
/// A failed attempt takes up to the connect timeout; after several of them, a refusal with a retry
/// time serves the client better than further attempts.
const MAX_FAILED_DIALS: u32 = 3;

/// Attempts made for a request so far.
#[derive(Default)]
pub(crate) struct RequestProgress {
    pub(crate) tried: Vec<EndpointKey>,
    /// The endpoint that was tried last; `None` if the request was relayed since.
    pub(crate) chosen: Option<ChosenEndpoint>,
    /// The call that was given up last because its endpoint did not respond in time.
    pub(crate) late_call: Option<LateCall>,
    /// Number of endpoints that were sent the request.
    pub(crate) attempts: u32,
    /// Number of endpoints that could not be reached.
    pub(crate) failed_dials: u32,
    /// Whether any endpoint may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the request goes to another edge, since no endpoint could be reached.
    pub(crate) is_relaying: bool,
    /// Edges to which the request was relayed since the last attempt.
    pub(crate) tried_peers: Vec<SocketAddr>,
    /// Keepers that had no room for the request, this edge included.
    pub(crate) full_keepers: Vec<SocketAddr>,
    /// Position in the order in which keepers admit.
    pub(crate) lead_order: LeadOrder,
    /// Number of keepers that could not be reached.
    pub(crate) lost_keepers: u32,
    /// Whether this edge keeps the endpoint that was chosen last.
    pub(crate) is_keeper: bool,
    /// When the client may come back, according to the edges that refused the request.
    pub(crate) retry_after: Option<Duration>,
}

/// Where an attempt was sent.
#[derive(Clone, Copy)]
pub(crate) enum AttemptTarget<'a> {
    Endpoint(&'a ChosenEndpoint),
    /// Another edge, which relays it to an endpoint.
    Edge(SocketAddr),
}

/// Next step after an attempt.
pub(crate) enum NextStep {
    Retry,
    Refuse(RefusalReason),
    Respond(FullResponse),
    Stream(Box<EventStream>),
}

impl RequestProgress {
    /// Records the outcome of an attempt and decides the next step.
    pub(crate) fn record(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        target: AttemptTarget<'_>,
        outcome: CallOutcome,
    ) -> NextStep {
        let (reason, refusal) = match outcome {
            CallOutcome::Full(response) => {
                return self.handle_response(shared, plan, target, response);
            }
            CallOutcome::Events(upstream) => {
                self.attempts += 1;
                return NextStep::Stream(upstream);
            }
            CallOutcome::NotSent { reason, .. } => {
                self.failed_dials += 1;
                self.log_failure(plan, target, &reason);
                return match self.failed_dials < max_failed_dials(plan) {
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
                self.log_failure(plan, target, "silent");
                return NextStep::Retry;
            }
            CallOutcome::NotRun { rest } => {
                if rest.is_none() {
                    note_contended(shared, &plan.service, "a rejection");
                }
                (not_run_reason(rest), RefusalReason::NotRun)
            }
            CallOutcome::Misdirected => (
                "another endpoint has this address".to_owned(),
                RefusalReason::NotRun,
            ),
            CallOutcome::Lost { reason, .. } => {
                self.may_have_run = true;
                (reason, RefusalReason::Unknown)
            }
        };
        self.attempts += 1;
        metrics::counter!(metric_names::FAILED_ATTEMPTS, "reason" => refusal.label()).increment(1);
        self.log_failure(plan, target, &reason);
        let may_repeat = !self.may_have_run || plan.rule().is_repeatable();
        match may_repeat && self.try_retry(shared, plan) {
            true => NextStep::Retry,
            false => NextStep::Refuse(refusal),
        }
    }

    /// Takes the response of an endpoint that was late; its attempt has been counted.
    pub(crate) fn take_late(&mut self, late: LateOutcome) -> NextStep {
        self.chosen = Some(late.chosen);
        match late.outcome {
            CallOutcome::Full(response) => NextStep::Respond(response),
            CallOutcome::Events(upstream) => NextStep::Stream(upstream),
            _ => NextStep::Refuse(RefusalReason::Unknown),
        }
    }

    /// Returns the response to the client, unless it is a server error and another endpoint may be
    /// tried.
    fn handle_response(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        target: AttemptTarget<'_>,
        response: FullResponse,
    ) -> NextStep {
        self.attempts += 1;
        let is_failure = response.status.is_server_error();
        if !is_failure || !plan.rule().is_repeatable() || !self.try_retry(shared, plan) {
            return NextStep::Respond(response);
        }
        self.may_have_run = true;
        self.log_failure(plan, target, response.status.as_str());
        NextStep::Retry
    }

    /// Whether another endpoint may be tried while an attempt is in flight.
    pub(crate) fn may_abandon(&self, shared: &EdgeShared, plan: &RequestPlan) -> bool {
        let is_last = self.attempts + 1 >= plan.max_attempts();
        plan.rule().is_repeatable() && !is_last && self.try_retry(shared, plan)
    }

    fn try_retry(&self, shared: &EdgeShared, plan: &RequestPlan) -> bool {
        let is_enabled = shared.settings.mechanisms.repeats;
        let has_attempts_left = is_enabled && self.attempts < plan.max_attempts();
        let has_time = Instant::now() < plan.deadline
            && !outlasts_shutdown(shared, plan.rule(), plan.deadline);
        has_attempts_left && has_time && {
            let now = shared.now();
            let mut state = shared.state.borrow_mut();
            let budget = state.budget_mut(&plan.service, &shared.settings, now);
            let may_retry = budget.withdraw();
            let outcome = if may_retry { "made" } else { "over_budget" };
            metrics::counter!(metric_names::REPEATS, "outcome" => outcome).increment(1);
            may_retry
        }
    }

    fn log_failure(&self, plan: &RequestPlan, target: AttemptTarget<'_>, reason: &str) {
        // Tells repeats of one request from others; not needed for requests that were not run.
        let content = self.may_have_run.then(|| plan.digest());
        let (chosen, address) = match target {
            AttemptTarget::Endpoint(chosen) => (Some(chosen), chosen.address),
            AttemptTarget::Edge(address) => (None, address),
        };
        tracing::info!(
            request = plan.id,
            endpoint = chosen.map(|chosen| chosen.name.as_str()),
            %address,
            load = chosen.map(|chosen| chosen.load),
            load_age_ms = chosen.and_then(ChosenEndpoint::load_age_ms),
            time_percent = chosen.map(ChosenEndpoint::time_percent),
            version = plan.map.config().version,
            attempts = self.attempts,
            reason,
            content = content.map(tracing::field::display),
            "attempt failed"
        );
    }
}

/// An edge that relays a request has other edges to ask, and its client waits.
fn max_failed_dials(plan: &RequestPlan) -> u32 {
    match plan.relay {
        Some(_) => 1,
        None => MAX_FAILED_DIALS,
    }
}

fn not_run_reason(rest: Option<Duration>) -> String {
    match rest {
        Some(rest) => format!("not run, rest of {} ms", rest.as_millis()),
        None => "not run".to_owned(),
    }
}
