//! Claims under seeded schedules: nodes crash, answers are lost, steps come late and twice, time
//! passes, leaders restart from snapshots. No key may run twice, and nothing that was refused as
//! not run may ever run.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        }, //
    },
    specifications::Specification, //
};

use common::{
    SeededDraw,
    change,
    command, //
};
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const NODES: u64 = 4;
const BODY: [u8; 16] = [9; 16];

/// A fault put into nodes or surroundings, which the checks must notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClaimFault {
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
enum NodePhase {
    Waiting,
    GaveUp,
    Sent,
    Over,
}

/// One submission of a key at one node.
#[derive(Clone, Debug)]
struct NodeAttempt {
    key: ClaimKey,
    attempt: ClaimAttempt,
    phase: NodePhase,
}

/// A claim step on its way, with the operation of the history that it belongs to.
#[derive(Clone, Debug)]
struct WireStep {
    step: ClaimStep,
    operation: usize,
}

#[derive(Clone, Debug)]
struct ClaimOp {
    key: ClaimKey,
    step: ClaimStep,
    outcome: Option<ClaimOutcome>,
    called: usize,
    answered: Option<usize>,
}

struct ClaimWorld {
    draw: SeededDraw,
    fault: ClaimFault,
    state: FleetState,
    saved: FleetState,
    now_ms: u64,
    next_request: u64,
    keys: Vec<ClaimKey>,
    attempts: Vec<NodeAttempt>,
    wire: Vec<WireStep>,
    /// Requests on their way to the service.
    sent: Vec<NodeAttempt>,
    runs: BTreeMap<ClaimKey, Vec<ClaimAttempt>>,
    not_run: BTreeSet<ClaimAttempt>,
    wrong_answer: Option<ClaimAttempt>,
    history: Vec<ClaimOp>,
    events: usize,
    /// Whether time passes and nodes are declared lost.
    eventful: bool,
    counts: BTreeMap<&'static str, u64>,
}

fn opaque_key(number: u64) -> ClaimKey {
    ClaimKey::new("north", "desk", &format!("key-{number}"))
}

fn dated_key(now_ms: u64, number: u64) -> ClaimKey {
    let issued = 1_700_000_000_000 + now_ms;
    let (high, low) = (issued >> 16, issued & 0xffff);
    let text = format!("{high:08x}-{low:04x}-7000-8000-{number:012x}");
    let key = ClaimKey::new("north", "desk", &text);
    assert_eq!(key.issued_ms, Some(issued));
    key
}

impl ClaimWorld {
    fn new(seed: u64, fault: ClaimFault, eventful: bool) -> Self {
        let mut state = common::state_with(&["north"]);
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

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn step(&mut self) {
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
    fn submit(&mut self) {
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
        let attempt = common::attempt(self.draw.below(NODES), self.next_request);
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

    fn send(&mut self, step: ClaimStep) {
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

    fn repeat_step(&mut self) {
        if !self.wire.is_empty() {
            let place = self.draw.below(self.wire.len() as u64) as usize;
            self.wire.push(self.wire[place].clone());
            self.count("steps repeated");
        }
    }

    /// The leader takes some steps, in any order, into one entry of the log.
    fn apply_batch(&mut self) {
        let mut batch = Vec::new();
        for _ in 0..1 + self.draw.below(3) {
            batch.extend(self.draw.take(&mut self.wire));
        }
        let steps = batch.iter().map(|wire| wire.step.clone()).collect();
        let action = StateAction::Claims(steps);
        let index = self.state.applied() + 1;
        let bytes = command(self.now_ms, action).to_bytes();
        let applied = self.state.apply(index, &bytes).unwrap();
        let Applied::Claimed(outcomes) = applied else {
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
    fn answer(&mut self, wire: WireStep, outcome: ClaimOutcome) {
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

    fn dispatch(&mut self, place: usize) {
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

    fn finish(&mut self, known: &NodeAttempt, result: ClaimResult) {
        let (key, attempt) = (known.key.clone(), known.attempt);
        self.send(ClaimStep::Finish {
            key,
            attempt,
            result,
        });
    }

    /// A request reaches the service and runs.
    fn deliver_to_service(&mut self) {
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
    fn give_up(&mut self) {
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

    fn crash(&mut self) {
        let node = NodeId(self.draw.below(NODES));
        self.attempts.retain(|known| known.attempt.node != node);
        self.count("crashes");
    }

    fn restart_leader(&mut self) {
        self.count("restarts from a snapshot");
        let from = if self.fault == ClaimFault::LosesAccepted {
            &self.saved
        } else {
            &self.state
        };
        self.state = FleetState::from_snapshot(&from.to_snapshot()).unwrap();
        self.saved = self.state.clone();
    }

    fn pass_time(&mut self) {
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
    fn declare_lost(&mut self) {
        let node = NodeId(self.draw.below(NODES));
        self.send(ClaimStep::NodeLost { node });
    }

    /// What went wrong, if anything.
    fn violation(&self) -> Option<String> {
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

fn release(known: &NodeAttempt) -> ClaimStep {
    ClaimStep::Release {
        key: known.key.clone(),
        body: BODY,
        attempt: known.attempt,
    }
}

fn wire_key(step: &ClaimStep) -> ClaimKey {
    match step {
        ClaimStep::Claim { key, .. } => key.clone(),
        _ => panic!("a claim was answered"),
    }
}

fn run_world(seed: u64, fault: ClaimFault, eventful: bool, steps: usize) -> ClaimWorld {
    let mut world = ClaimWorld::new(seed, fault, eventful);
    for _ in 0..steps {
        world.step();
    }
    world
}

/// A stylist books a studio; the answer is lost, the node crashes, her app sends the same key to
/// other nodes, minutes or hours later. The studio must be booked once, and an app that was told
/// "not run" must be able to rely on it.
#[test]
fn no_key_runs_twice_and_nothing_refused_ever_runs() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..200 {
        let world = run_world(seed, ClaimFault::None, true, 3000);
        assert_eq!(world.violation(), None, "seed {seed}");
        for (what, count) in &world.counts {
            *counts.entry(what).or_default() += count;
        }
        *counts.entry("keys").or_default() += world.keys.len() as u64;
    }
    println!("200 schedules of 3000 steps: {counts:?}");
    assert!(
        counts["runs"] > 20_000,
        "the schedules ran too little: {counts:?}"
    );
}

/// The check above is worth something only if it notices nodes and members that go wrong.
#[test]
fn the_check_notices_each_fault() {
    for fault in [
        ClaimFault::ReleasesAfterSend,
        ClaimFault::SendsBeforeGrant,
        ClaimFault::UsesLateGrant,
        ClaimFault::LosesAccepted,
        ClaimFault::ForgetsSpent,
    ] {
        let worlds = (0..20).map(|seed| run_world(seed, fault, true, 3000));
        let noticed = worlds.filter(|world| world.violation().is_some()).count();
        println!("{fault:?}: noticed in {noticed} of 20 schedules");
        assert!(
            noticed >= 10,
            "{fault:?} noticed in {noticed} of 20 schedules"
        );
    }
}

/// One key as a single place would keep it.
struct KeySpec;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum KeyPhase {
    Free,
    Held(u64),
    Unknown(u64),
    Done(u64, Vec<u8>),
}

#[derive(Clone, Debug)]
struct KeyOp {
    step: ClaimStep,
    /// Nothing where no answer came: any is right then.
    outcome: Option<ClaimOutcome>,
}

impl Specification for KeySpec {
    /// The phase, and the attempts that were released.
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
        let fits = operation
            .outcome
            .as_ref()
            .is_none_or(|told| *told == outcome);
        (fits, (phase, released))
    }
}

/// The operations on one key in the order of their calls and answers; those without an answer end
/// after all others.
fn key_history(world: &ClaimWorld, key: &ClaimKey) -> Vec<(usize, Action<KeyOp>)> {
    let mut actions = Vec::new();
    let of_key = world
        .history
        .iter()
        .filter(|operation| operation.key == *key);
    for (place, operation) in of_key.enumerate() {
        let op = KeyOp {
            step: operation.step.clone(),
            outcome: operation.outcome.clone(),
        };
        actions.push((operation.called * 2, place, Action::Call(op.clone())));
        let end = operation.answered.map_or(usize::MAX, |at| at * 2 + 1);
        actions.push((end, place, Action::Response(op)));
    }
    actions.sort_by_key(|(at, ..)| *at);
    actions
        .into_iter()
        .map(|(_, place, action)| (place, action))
        .collect()
}

/// Every answer that nodes got on a key must fit one order of all steps, one after the other;
/// otherwise two nodes were told things of one booking that cannot both be true.
#[test]
fn claim_histories_are_linearizable() {
    let (mut histories, mut operations) = (0, 0);
    for seed in 0..60 {
        let world = run_world(seed, ClaimFault::None, false, 400);
        for key in &world.keys {
            let actions = key_history(&world, key);
            // Longer ones are left out: the search grows too fast with operations left open.
            if actions.is_empty() || actions.len() > 36 {
                continue;
            }
            histories += 1;
            operations += actions.len() / 2;
            let history = History::from_actions(actions);
            assert!(
                WGLChecker::<KeySpec>::is_linearizable(history),
                "seed {seed} {key:?}"
            );
        }
    }
    println!("{operations} operations in {histories} histories of one key each");
    assert!(operations > 5000);
}

/// A table that loses accepted steps must be noticed by the history check too.
#[test]
fn the_history_check_notices_lost_steps() {
    let noticed = (0..20).filter(|seed| {
        let world = run_world(*seed, ClaimFault::LosesAccepted, false, 400);
        let mut histories = world.keys.iter().map(|key| key_history(&world, key));
        histories.any(|actions| {
            let checked = !actions.is_empty() && actions.len() <= 36;
            checked && !WGLChecker::<KeySpec>::is_linearizable(History::from_actions(actions))
        })
    });
    let noticed = noticed.count();
    println!("lost steps noticed in {noticed} of 20 schedules");
    assert!(noticed >= 10);
}
