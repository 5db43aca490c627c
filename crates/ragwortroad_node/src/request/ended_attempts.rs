use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

/// Attempts that ended lately, for the decision about a retry.
///
/// The traffic thread only names the attempt that failed; what is known of it stands here, so that
/// a retry never rests on what a traffic thread claims.
#[derive(Debug, Default)]
pub(crate) struct EndedAttempts {
    attempts: BTreeMap<TicketId, EndedAttempt>,
    order: VecDeque<(ClockTime, TicketId)>,
}

/// One attempt that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndedAttempt {
    /// What is known of it.
    pub(crate) outcome: RequestOutcome,
    /// Attempts of its request until then.
    pub(crate) attempts: u32,
}

/// How long an ended attempt is remembered; a retry follows at once.
const ENDED_ATTEMPT_TTL: Duration = Duration::from_secs(30);

impl EndedAttempts {
    /// Notes an end.
    pub(crate) fn add(&mut self, ticket: TicketId, attempt: EndedAttempt, now: ClockTime) {
        self.attempts.insert(ticket, attempt);
        self.order.push_back((now, ticket));
        while self
            .order
            .front()
            .is_some_and(|(ended, _)| now.since(*ended) > ENDED_ATTEMPT_TTL)
        {
            if let Some((_, old)) = self.order.pop_front() {
                self.attempts.remove(&old);
            }
        }
    }

    /// The attempt, if it ended lately; it can be followed by one retry only.
    pub(crate) fn take(&mut self, ticket: TicketId) -> Option<EndedAttempt> {
        self.attempts.remove(&ticket)
    }
}
