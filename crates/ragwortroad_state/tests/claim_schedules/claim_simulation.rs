//! A seeded simulation of nodes, a log and a service, and of the claims of all nodes.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    SeededRng,
    attempt,
    change,
    command,
    state_with, //
};

pub(crate) const NODES: u64 = 4;
pub(crate) const BODY: [u8; 16] = [9; 16];

/// A fault injected into nodes or their environment, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ClaimFault {
    None,
    /// A timeout after dispatch is treated as "not sent".
    ReleasesAfterSend,
    /// The request is sent before the claim is granted.
    SendsBeforeGrant,
    /// A grant that arrives after the node abandoned the claim is used.
    UsesLateGrant,
    /// A new leader lacks the last committed steps.
    LosesAccepted,
    /// Undated keys past the window are forgotten without the operator's declaration.
    ForgetsSpent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum NodePhase {
    Waiting,
    Abandoned,
    Sent,
    Finished,
}

/// One submission of a key to a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeAttempt {
    pub(crate) key: ClaimKey,
    pub(crate) attempt: ClaimAttempt,
    pub(crate) phase: NodePhase,
}

/// A claim step in transit, with the index of its operation in the history.
#[derive(Clone, Debug)]
pub(crate) struct PendingStep {
    pub(crate) step: ClaimStep,
    pub(crate) operation: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct ClaimOperation {
    pub(crate) key: ClaimKey,
    pub(crate) step: ClaimStep,
    pub(crate) outcome: Option<ClaimOutcome>,
    pub(crate) called: usize,
    pub(crate) answered: Option<usize>,
}

pub(crate) struct ClaimSimulation {
    pub(crate) rng: SeededRng,
    pub(crate) fault: ClaimFault,
    pub(crate) state: FleetState,
    pub(crate) saved: FleetState,
    pub(crate) now_ms: u64,
    pub(crate) next_request: u64,
    pub(crate) keys: Vec<ClaimKey>,
    pub(crate) attempts: Vec<NodeAttempt>,
    pub(crate) in_transit: Vec<PendingStep>,
    /// Requests in transit to the service.
    pub(crate) sent: Vec<NodeAttempt>,
    pub(crate) runs: BTreeMap<ClaimKey, Vec<ClaimAttempt>>,
    pub(crate) not_run: BTreeSet<ClaimAttempt>,
    pub(crate) wrong_answer: Option<ClaimAttempt>,
    pub(crate) history: Vec<ClaimOperation>,
    pub(crate) events: usize,
    /// Whether time passes and nodes are declared lost.
    pub(crate) has_node_losses: bool,
    pub(crate) counts: BTreeMap<&'static str, u64>,
}

pub(crate) fn opaque_key(number: u64) -> ClaimKey {
    ClaimKey::new("north", "desk", &format!("key-{number}"))
}

pub(crate) fn dated_key(now_ms: u64, number: u64) -> ClaimKey {
    let issued = 1_700_000_000_000 + now_ms;
    let (high, low) = (issued >> 16, issued & 0xffff);
    let text = format!("{high:08x}-{low:04x}-7000-8000-{number:012x}");
    let key = ClaimKey::new("north", "desk", &text);
    assert_eq!(key.issued_ms, Some(issued));
    key
}

impl ClaimSimulation {
    pub(crate) fn new(seed: u64, fault: ClaimFault, has_node_losses: bool) -> Self {
        let mut state = state_with(&["north"]);
        let rules = ClaimsEdit {
            window_s: Some(60),
            run_bound_s: Some(20),
            skew_s: Some(5),
            // Small enough that responses are reduced to their status.
            answer_budget: has_node_losses.then_some(100),
            ..ClaimsEdit::default()
        };
        let edits = vec![ConfigEdit::SetClaims { rules }];
        let action = StateAction::Change(change("rules", 1, edits));
        state.apply(2, &command(0, action).to_bytes()).unwrap();
        Self {
            rng: SeededRng::new(seed),
            fault,
            saved: state.clone(),
            state,
            now_ms: 0,
            next_request: 0,
            keys: Vec::new(),
            attempts: Vec::new(),
            in_transit: Vec::new(),
            sent: Vec::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            wrong_answer: None,
            history: Vec::new(),
            events: 0,
            has_node_losses,
            counts: BTreeMap::new(),
        }
    }

    pub(crate) fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    pub(crate) fn step(&mut self) {
        self.events += 1;
        match self.rng.below(20) {
            0..=4 => self.submit(),
            5..=9 => self.apply_batch(),
            10..=12 => self.deliver_to_service(),
            13 => self.abandon_claim(),
            14 => self.crash(),
            15 => self.restart_leader(),
            16 if self.has_node_losses => self.pass_time(),
            17 if self.has_node_losses => self.declare_lost(),
            18 => self.repeat_step(),
            _ => self.apply_batch(),
        }
    }

    /// Submits a new key, or an old one again, to any node.
    pub(crate) fn submit(&mut self) {
        let number = self.keys.len() as u64;
        if self.keys.is_empty() || self.rng.chance(25) {
            let dated = self.rng.chance(50);
            let key = if dated {
                dated_key(self.now_ms, number)
            } else {
                opaque_key(number)
            };
            self.keys.push(key);
        }
        let recent = if self.rng.chance(30) {
            self.keys.len()
        } else {
            self.keys.len().min(4)
        };
        let index = self.keys.len() - 1 - self.rng.below(recent as u64) as usize;
        let key = self.keys[index].clone();
        self.next_request += 1;
        let attempt = attempt(self.rng.below(NODES), self.next_request);
        let phase = NodePhase::Waiting;
        let claim = ClaimStep::Claim {
            key: key.clone(),
            body: BODY,
            attempt,
        };
        let waiting = NodeAttempt {
            key,
            attempt,
            phase,
        };
        if self.fault == ClaimFault::SendsBeforeGrant && self.rng.chance(5) {
            self.sent.push(waiting.clone());
        }
        self.attempts.push(waiting);
        self.send(claim);
    }

    pub(crate) fn send(&mut self, step: ClaimStep) {
        let key = match &step {
            ClaimStep::Claim { key, .. }
            | ClaimStep::Finish { key, .. }
            | ClaimStep::Release { key, .. } => key.clone(),
            ClaimStep::NodeLost { .. } => opaque_key(0),
        };
        let operation = self.history.len();
        self.history.push(ClaimOperation {
            key,
            step: step.clone(),
            outcome: None,
            called: self.events,
            answered: None,
        });
        if self.rng.chance(90) {
            self.in_transit.push(PendingStep { step, operation });
        } else {
            self.count("steps lost");
        }
    }

    pub(crate) fn repeat_step(&mut self) {
        if !self.in_transit.is_empty() {
            let index = self.rng.below(self.in_transit.len() as u64) as usize;
            self.in_transit.push(self.in_transit[index].clone());
            self.count("steps repeated");
        }
    }

    /// Puts some steps, in any order, into one log entry.
    pub(crate) fn apply_batch(&mut self) {
        let mut batch = Vec::new();
        for _ in 0..1 + self.rng.below(3) {
            batch.extend(self.rng.take_random(&mut self.in_transit));
        }
        let steps = batch.iter().map(|pending| pending.step.clone()).collect();
        let action = StateAction::Claims(steps);
        let index = self.state.applied() + 1;
        let bytes = command(self.now_ms, action).to_bytes();
        let apply_outcome = self.state.apply(index, &bytes).unwrap();
        let ApplyOutcome::Claimed(outcomes) = apply_outcome else {
            panic!("{apply_outcome:?}")
        };
        self.count("entries");
        for (pending, outcome) in batch.into_iter().zip(outcomes) {
            if self.rng.chance(80) {
                self.answer(pending, outcome);
            } else {
                self.count("answers lost");
            }
        }
    }

    /// Delivers the outcome of a step to the node.
    pub(crate) fn answer(&mut self, pending: PendingStep, outcome: ClaimOutcome) {
        self.events += 1;
        let operation = &mut self.history[pending.operation];
        if operation.answered.is_none() {
            operation.answered = Some(self.events);
            operation.outcome = Some(outcome.clone());
        }
        let ClaimStep::Claim { attempt, .. } = pending.step else {
            return;
        };
        let index = self
            .attempts
            .iter()
            .position(|node_attempt| node_attempt.attempt == attempt);
        let Some(index) = index else { return };
        let phase = self.attempts[index].phase;
        let uses_late_grant =
            self.fault == ClaimFault::UsesLateGrant && phase == NodePhase::Abandoned;
        if phase != NodePhase::Waiting && !uses_late_grant {
            return;
        }
        match outcome {
            ClaimOutcome::Granted => self.dispatch(index),
            ClaimOutcome::Recorded(answer) => {
                let runs = self
                    .runs
                    .get(&claimed_key(&pending.step))
                    .cloned()
                    .unwrap_or_default();
                let run_body = runs.first().map(|run| run.request.0.to_le_bytes().to_vec());
                if Some(answer.body) != run_body {
                    self.wrong_answer = Some(attempt);
                }
                self.attempts[index].phase = NodePhase::Finished;
            }
            other => {
                if matches!(other.refusal(), Some((RequestOutcome::NotRun, _))) {
                    self.not_run.insert(attempt);
                }
                self.attempts[index].phase = NodePhase::Finished;
            }
        }
    }

    pub(crate) fn dispatch(&mut self, index: usize) {
        let node_attempt = self.attempts[index].clone();
        if self.rng.chance(15) {
            // The endpoint could not be reached; no byte was sent.
            self.attempts[index].phase = NodePhase::Finished;
            self.not_run.insert(node_attempt.attempt);
            self.count("releases");
            self.send(release(&node_attempt));
            return;
        }
        self.attempts[index].phase = NodePhase::Sent;
        self.sent.push(node_attempt.clone());
        if self.rng.chance(20) {
            // No response arrived in time; the request may still arrive.
            self.count("timeouts");
            if self.fault == ClaimFault::ReleasesAfterSend {
                self.send(release(&node_attempt));
            } else {
                self.finish(&node_attempt, ClaimResult::Unknown);
            }
        }
    }

    pub(crate) fn finish(&mut self, node_attempt: &NodeAttempt, result: ClaimResult) {
        let (key, attempt) = (node_attempt.key.clone(), node_attempt.attempt);
        self.send(ClaimStep::Finish {
            key,
            attempt,
            result,
        });
    }

    /// Delivers a request to the service, which runs it.
    pub(crate) fn deliver_to_service(&mut self) {
        let Some(node_attempt) = self.rng.take_random(&mut self.sent) else {
            return;
        };
        self.count("runs");
        self.runs
            .entry(node_attempt.key.clone())
            .or_default()
            .push(node_attempt.attempt);
        let alive = self
            .attempts
            .iter()
            .any(|other| other.attempt == node_attempt.attempt);
        if alive && self.rng.chance(80) {
            let answer = ClaimAnswer {
                status: 201,
                content_type: String::new(),
                body: node_attempt.attempt.request.0.to_le_bytes().to_vec(),
            };
            self.finish(&node_attempt, ClaimResult::Answered(answer));
        }
    }

    /// Lets a node abandon a claim it waits for.
    pub(crate) fn abandon_claim(&mut self) {
        let waiting = |node_attempt: &NodeAttempt| node_attempt.phase == NodePhase::Waiting;
        let Some(index) = self.attempts.iter().position(waiting) else {
            return;
        };
        self.attempts[index].phase = NodePhase::Abandoned;
        let node_attempt = self.attempts[index].clone();
        self.not_run.insert(node_attempt.attempt);
        self.count("abandoned");
        self.send(release(&node_attempt));
    }

    pub(crate) fn crash(&mut self) {
        let node = NodeId(self.rng.below(NODES));
        self.attempts
            .retain(|node_attempt| node_attempt.attempt.node != node);
        self.count("crashes");
    }

    pub(crate) fn restart_leader(&mut self) {
        self.count("restarts from a snapshot");
        let from = if self.fault == ClaimFault::LosesAccepted {
            &self.saved
        } else {
            &self.state
        };
        self.state = FleetState::from_snapshot(&from.to_snapshot()).unwrap();
        self.saved = self.state.clone();
    }

    pub(crate) fn pass_time(&mut self) {
        self.now_ms += self.rng.below(30_000);
        if self.fault == ClaimFault::ForgetsSpent {
            let customer = "north".to_owned();
            let base = self.state.config().revision;
            let edits = vec![ConfigEdit::ForgetKeys { customer }];
            let action = StateAction::Change(change(&format!("f{base}"), base, edits));
            let index = self.state.applied() + 1;
            let bytes = command(self.now_ms, action).to_bytes();
            self.state.apply(index, &bytes).unwrap();
        }
    }

    /// Declares a node lost, rightly or wrongly.
    pub(crate) fn declare_lost(&mut self) {
        let node = NodeId(self.rng.below(NODES));
        self.send(ClaimStep::NodeLost { node });
    }

    /// Returns a description of the first violated invariant.
    pub(crate) fn violation(&self) -> Option<String> {
        if let Some(attempt) = self.wrong_answer {
            return Some(format!(
                "{attempt:?} was given an answer that is not the run's"
            ));
        }
        for (key, runs) in &self.runs {
            if runs.len() > 1 {
                return Some(format!("{key:?} ran {} times: {runs:?}", runs.len()));
            }
            if let Some(run) = runs.iter().find(|run| self.not_run.contains(run)) {
                return Some(format!("{run:?} was refused as not run and ran"));
            }
        }
        None
    }
}

pub(crate) fn release(node_attempt: &NodeAttempt) -> ClaimStep {
    ClaimStep::Release {
        key: node_attempt.key.clone(),
        body: BODY,
        attempt: node_attempt.attempt,
    }
}

pub(crate) fn claimed_key(step: &ClaimStep) -> ClaimKey {
    match step {
        ClaimStep::Claim { key, .. } => key.clone(),
        _ => panic!("a step other than a claim was granted or refused"),
    }
}

pub(crate) fn run_simulation(
    seed: u64,
    fault: ClaimFault,
    has_node_losses: bool,
    steps: usize,
) -> ClaimSimulation {
    let mut simulation = ClaimSimulation::new(seed, fault, has_node_losses);
    for _ in 0..steps {
        simulation.step();
    }
    simulation
}
