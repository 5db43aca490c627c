//! Nodes, a log and a service as a seed drives them, with the claims of all.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    SeededDraw,
    attempt,
    change,
    command,
    state_with, //
};

pub(crate) const NODES: u64 = 4;
pub(crate) const BODY: [u8; 16] = [9; 16];

/// A fault put into nodes or surroundings, which the checks must notice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ClaimFault {
    None,
    /// A timeout after dispatch is taken for "not sent".
    ReleasesAfterSend,
    /// The request is sent before the claim is granted.
    SendsBeforeGrant,
    /// A grant that comes after the node gave up is used.
    UsesLateGrant,
    /// A new leader lacks the last accepted steps.
    LosesAccepted,
    /// Undated keys past the window are forgotten without the operator's word.
    ForgetsSpent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum NodePhase {
    Waiting,
    GaveUp,
    Sent,
    Over,
}

/// One submission of a key at one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeAttempt {
    pub(crate) key: ClaimKey,
    pub(crate) attempt: ClaimAttempt,
    pub(crate) phase: NodePhase,
}

/// A claim step on its way, with the operation of the history that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct WireStep {
    pub(crate) step: ClaimStep,
    pub(crate) operation: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct ClaimOp {
    pub(crate) key: ClaimKey,
    pub(crate) step: ClaimStep,
    pub(crate) outcome: Option<ClaimOutcome>,
    pub(crate) called: usize,
    pub(crate) answered: Option<usize>,
}

pub(crate) struct ClaimWorld {
    pub(crate) draw: SeededDraw,
    pub(crate) fault: ClaimFault,
    pub(crate) state: FleetState,
    pub(crate) saved: FleetState,
    pub(crate) now_ms: u64,
    pub(crate) next_request: u64,
    pub(crate) keys: Vec<ClaimKey>,
    pub(crate) attempts: Vec<NodeAttempt>,
    pub(crate) wire: Vec<WireStep>,
    /// Requests on their way to the service.
    pub(crate) sent: Vec<NodeAttempt>,
    pub(crate) runs: BTreeMap<ClaimKey, Vec<ClaimAttempt>>,
    pub(crate) not_run: BTreeSet<ClaimAttempt>,
    pub(crate) wrong_answer: Option<ClaimAttempt>,
    pub(crate) history: Vec<ClaimOp>,
    pub(crate) events: usize,
    /// Whether time passes and nodes are declared lost.
    pub(crate) eventful: bool,
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

impl ClaimWorld {
    pub(crate) fn new(seed: u64, fault: ClaimFault, eventful: bool) -> Self {
        let mut state = state_with(&["north"]);
        let rules = ClaimsEdit {
            window_s: Some(60),
            run_bound_s: Some(20),
            skew_s: Some(5),
            // Little enough that answers are cut down to their status.
            answer_budget: eventful.then_some(100),
            ..ClaimsEdit::default()
        };
        let edits = vec![ConfigEdit::SetClaims { rules }];
        let action = StateAction::Change(change("rules", 1, edits));
        state.apply(2, &command(0, action).to_bytes()).unwrap();
        Self {
            draw: SeededDraw::new(seed),
            fault,
            saved: state.clone(),
            state,
            now_ms: 0,
            next_request: 0,
            keys: Vec::new(),
            attempts: Vec::new(),
            wire: Vec::new(),
            sent: Vec::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            wrong_answer: None,
            history: Vec::new(),
            events: 0,
            eventful,
            counts: BTreeMap::new(),
        }
    }

    pub(crate) fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    pub(crate) fn step(&mut self) {
        self.events += 1;
        match self.draw.below(20) {
            0..=4 => self.submit(),
            5..=9 => self.apply_batch(),
            10..=12 => self.deliver_to_service(),
            13 => self.give_up(),
            14 => self.crash(),
            15 => self.restart_leader(),
            16 if self.eventful => self.pass_time(),
            17 if self.eventful => self.declare_lost(),
            18 => self.repeat_step(),
            _ => self.apply_batch(),
        }
    }

    /// A caller sends a new key, or an old one again through any node.
    pub(crate) fn submit(&mut self) {
        let number = self.keys.len() as u64;
        if self.keys.is_empty() || self.draw.chance(25) {
            let dated = self.draw.chance(50);
            let key = if dated {
                dated_key(self.now_ms, number)
            } else {
                opaque_key(number)
            };
            self.keys.push(key);
        }
        let recent = if self.draw.chance(30) {
            self.keys.len()
        } else {
            self.keys.len().min(4)
        };
        let place = self.keys.len() - 1 - self.draw.below(recent as u64) as usize;
        let key = self.keys[place].clone();
        self.next_request += 1;
        let attempt = attempt(self.draw.below(NODES), self.next_request);
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
        if self.fault == ClaimFault::SendsBeforeGrant && self.draw.chance(5) {
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
        self.history.push(ClaimOp {
            key,
            step: step.clone(),
            outcome: None,
            called: self.events,
            answered: None,
        });
        if self.draw.chance(90) {
            self.wire.push(WireStep { step, operation });
        } else {
            self.count("steps lost");
        }
    }

    pub(crate) fn repeat_step(&mut self) {
        if !self.wire.is_empty() {
            let place = self.draw.below(self.wire.len() as u64) as usize;
            self.wire.push(self.wire[place].clone());
            self.count("steps repeated");
        }
    }

    /// The leader takes some steps, in any order, into one entry of the log.
    pub(crate) fn apply_batch(&mut self) {
        let mut batch = Vec::new();
        for _ in 0..1 + self.draw.below(3) {
            batch.extend(self.draw.take(&mut self.wire));
        }
        let steps = batch.iter().map(|wire| wire.step.clone()).collect();
        let action = StateAction::Claims(steps);
        let index = self.state.applied() + 1;
        let bytes = command(self.now_ms, action).to_bytes();
        let applied = self.state.apply(index, &bytes).unwrap();
        let ApplyOutcome::Claimed(outcomes) = applied else {
            panic!("{applied:?}")
        };
        self.count("entries");
        for (wire, outcome) in batch.into_iter().zip(outcomes) {
            if self.draw.chance(80) {
                self.answer(wire, outcome);
            } else {
                self.count("answers lost");
            }
        }
    }

    /// The answer to a step reaches the node.
    pub(crate) fn answer(&mut self, wire: WireStep, outcome: ClaimOutcome) {
        self.events += 1;
        let operation = &mut self.history[wire.operation];
        if operation.answered.is_none() {
            operation.answered = Some(self.events);
            operation.outcome = Some(outcome.clone());
        }
        let ClaimStep::Claim { attempt, .. } = wire.step else {
            return;
        };
        let place = self
            .attempts
            .iter()
            .position(|known| known.attempt == attempt);
        let Some(place) = place else { return };
        let phase = self.attempts[place].phase;
        let late = self.fault == ClaimFault::UsesLateGrant && phase == NodePhase::GaveUp;
        if phase != NodePhase::Waiting && !late {
            return;
        }
        match outcome {
            ClaimOutcome::Granted => self.dispatch(place),
            ClaimOutcome::Recorded(answer) => {
                let runs = self
                    .runs
                    .get(&wire_key(&wire.step))
                    .cloned()
                    .unwrap_or_default();
                let of_run = runs.first().map(|run| run.request.0.to_le_bytes().to_vec());
                if Some(answer.body) != of_run {
                    self.wrong_answer = Some(attempt);
                }
                self.attempts[place].phase = NodePhase::Over;
            }
            other => {
                if matches!(other.refusal(), Some((RequestOutcome::NotRun, _))) {
                    self.not_run.insert(attempt);
                }
                self.attempts[place].phase = NodePhase::Over;
            }
        }
    }

    pub(crate) fn dispatch(&mut self, place: usize) {
        let known = self.attempts[place].clone();
        if self.draw.chance(15) {
            // The endpoint could not be reached: not one byte was sent.
            self.attempts[place].phase = NodePhase::Over;
            self.not_run.insert(known.attempt);
            self.count("releases");
            self.send(release(&known));
            return;
        }
        self.attempts[place].phase = NodePhase::Sent;
        self.sent.push(known.clone());
        if self.draw.chance(20) {
            // No answer came in time; the request may still arrive.
            self.count("timeouts");
            if self.fault == ClaimFault::ReleasesAfterSend {
                self.send(release(&known));
            } else {
                self.finish(&known, ClaimResult::Unknown);
            }
        }
    }

    pub(crate) fn finish(&mut self, known: &NodeAttempt, result: ClaimResult) {
        let (key, attempt) = (known.key.clone(), known.attempt);
        self.send(ClaimStep::Finish {
            key,
            attempt,
            result,
        });
    }

    /// A request reaches the service and runs.
    pub(crate) fn deliver_to_service(&mut self) {
        let Some(known) = self.draw.take(&mut self.sent) else {
            return;
        };
        self.count("runs");
        self.runs
            .entry(known.key.clone())
            .or_default()
            .push(known.attempt);
        let alive = self
            .attempts
            .iter()
            .any(|other| other.attempt == known.attempt);
        if alive && self.draw.chance(80) {
            let answer = ClaimAnswer {
                status: 201,
                content_type: String::new(),
                body: known.attempt.request.0.to_le_bytes().to_vec(),
            };
            self.finish(&known, ClaimResult::Answered(answer));
        }
    }

    /// A node waits no longer for its claim.
    pub(crate) fn give_up(&mut self) {
        let waiting = |known: &NodeAttempt| known.phase == NodePhase::Waiting;
        let Some(place) = self.attempts.iter().position(waiting) else {
            return;
        };
        self.attempts[place].phase = NodePhase::GaveUp;
        let known = self.attempts[place].clone();
        self.not_run.insert(known.attempt);
        self.count("given up");
        self.send(release(&known));
    }

    pub(crate) fn crash(&mut self) {
        let node = NodeId(self.draw.below(NODES));
        self.attempts.retain(|known| known.attempt.node != node);
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
        self.now_ms += self.draw.below(30_000);
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

    /// A node is declared lost, rightly or not.
    pub(crate) fn declare_lost(&mut self) {
        let node = NodeId(self.draw.below(NODES));
        self.send(ClaimStep::NodeLost { node });
    }

    /// What went wrong, if anything.
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

pub(crate) fn release(known: &NodeAttempt) -> ClaimStep {
    ClaimStep::Release {
        key: known.key.clone(),
        body: BODY,
        attempt: known.attempt,
    }
}

pub(crate) fn wire_key(step: &ClaimStep) -> ClaimKey {
    match step {
        ClaimStep::Claim { key, .. } => key.clone(),
        _ => panic!("a claim was answered"),
    }
}

pub(crate) fn run_world(seed: u64, fault: ClaimFault, eventful: bool, steps: usize) -> ClaimWorld {
    let mut world = ClaimWorld::new(seed, fault, eventful);
    for _ in 0..steps {
        world.step();
    }
    world
}
