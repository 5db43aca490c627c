//! The sequential specification of a key, and the history of a key in a simulation.

use std::collections::BTreeSet;

use ragwortroad_state::prelude::*;
use todc_utils::{
    linearizability::history::Action,
    specifications::Specification, //
};

use crate::claim_simulation::ClaimSimulation;

/// The sequential specification of a key.
pub(crate) struct KeySpec;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum KeyPhase {
    Free,
    Held(u64),
    Unknown(u64),
    Done(u64, Vec<u8>),
}

#[derive(Clone, Debug)]
pub(crate) struct KeyOp {
    pub(crate) step: ClaimStep,
    /// `None` if no answer arrived; any outcome is valid then.
    pub(crate) outcome: Option<ClaimOutcome>,
}

impl Specification for KeySpec {
    /// The phase and the released attempts.
    type State = (KeyPhase, BTreeSet<u64>);
    type Operation = KeyOp;

    fn init() -> Self::State {
        (KeyPhase::Free, BTreeSet::new())
    }

    fn apply(operation: &KeyOp, state: &Self::State) -> (bool, Self::State) {
        let (mut phase, mut released) = state.clone();
        let outcome = match &operation.step {
            ClaimStep::Claim { attempt, .. } => {
                let request = attempt.request.0;
                match &phase {
                    _ if released.contains(&request) => ClaimOutcome::Withdrawn,
                    KeyPhase::Free => {
                        phase = KeyPhase::Held(request);
                        ClaimOutcome::Granted
                    }
                    KeyPhase::Held(holder) if *holder == request => ClaimOutcome::Granted,
                    KeyPhase::Held(_) => ClaimOutcome::InProgress,
                    KeyPhase::Unknown(_) => ClaimOutcome::Unknown,
                    KeyPhase::Done(_, body) => ClaimOutcome::Recorded(ClaimAnswer {
                        status: 201,
                        content_type: String::new(),
                        body: body.clone(),
                    }),
                }
            }
            ClaimStep::Finish {
                attempt, result, ..
            } => {
                let request = attempt.request.0;
                match (&phase, result) {
                    (KeyPhase::Held(holder) | KeyPhase::Unknown(holder), _)
                        if *holder != request =>
                    {
                        ClaimOutcome::NotHeld
                    }
                    (KeyPhase::Free, _) => ClaimOutcome::NotHeld,
                    (KeyPhase::Done(holder, _), _) if *holder != request => ClaimOutcome::NotHeld,
                    (KeyPhase::Done(..), _) => ClaimOutcome::Noted,
                    (_, ClaimResult::Answered(answer)) => {
                        phase = KeyPhase::Done(request, answer.body.clone());
                        ClaimOutcome::Noted
                    }
                    _ => {
                        phase = KeyPhase::Unknown(request);
                        ClaimOutcome::Noted
                    }
                }
            }
            ClaimStep::Release { attempt, .. } => {
                let request = attempt.request.0;
                released.insert(request);
                if phase == KeyPhase::Held(request) {
                    phase = KeyPhase::Free;
                }
                ClaimOutcome::Noted
            }
            ClaimStep::NodeLost { .. } => ClaimOutcome::Noted,
        };
        let matches = operation
            .outcome
            .as_ref()
            .is_none_or(|observed| *observed == outcome);
        (matches, (phase, released))
    }
}

/// Returns the calls and responses of the operations on one key in order of time; operations
/// without an answer end last.
pub(crate) fn key_history(
    simulation: &ClaimSimulation,
    key: &ClaimKey,
) -> Vec<(usize, Action<KeyOp>)> {
    let mut actions = Vec::new();
    let of_key = simulation
        .history
        .iter()
        .filter(|operation| operation.key == *key);
    for (index, operation) in of_key.enumerate() {
        let op = KeyOp {
            step: operation.step.clone(),
            outcome: operation.outcome.clone(),
        };
        actions.push((operation.called * 2, index, Action::Call(op.clone())));
        let end = operation.answered.map_or(usize::MAX, |at| at * 2 + 1);
        actions.push((end, index, Action::Response(op)));
    }
    actions.sort_by_key(|(at, ..)| *at);
    actions
        .into_iter()
        .map(|(_, index, action)| (index, action))
        .collect()
}
