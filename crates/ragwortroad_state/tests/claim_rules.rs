//! What a key is answered in each situation, and how its age is known.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{
    add_customer,
    attempt,
    change,
    command, //
};
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const BODY: [u8; 16] = [1; 16];
const HOUR_MS: u64 = 3_600_000;
const WALL_MS: u64 = 1_700_000_000_000;

struct ClaimDesk {
    state: FleetState,
    now_ms: u64,
    wall_ms: u64,
}

impl ClaimDesk {
    fn new() -> Self {
        let state = common::state_with(&["north"]);
        Self {
            state,
            now_ms: 0,
            wall_ms: WALL_MS,
        }
    }

    fn act(&mut self, action: StateAction) -> ApplyOutcome {
        let mut command = command(self.now_ms, action);
        command.stamp.wall_ms = self.wall_ms;
        self.state
            .apply(self.state.applied() + 1, &command.to_bytes())
            .unwrap()
    }

    fn step(&mut self, step: ClaimStep) -> ClaimOutcome {
        match self.act(StateAction::Claims(vec![step])) {
            ApplyOutcome::Claimed(mut outcomes) => outcomes.remove(0),
            other => panic!("{other:?}"),
        }
    }

    fn claim(&mut self, key: &ClaimKey, by: ClaimAttempt) -> ClaimOutcome {
        self.step(ClaimStep::Claim {
            key: key.clone(),
            body: BODY,
            attempt: by,
        })
    }

    fn finish(&mut self, key: &ClaimKey, by: ClaimAttempt, result: ClaimResult) -> ClaimOutcome {
        self.step(ClaimStep::Finish {
            key: key.clone(),
            attempt: by,
            result,
        })
    }

    fn edit(&mut self, edit: ConfigEdit) {
        let base = self.state.config().revision;
        let change = change(&format!("edit-{base}"), base, vec![edit]);
        let applied = self.act(StateAction::Change(change));
        assert!(
            matches!(
                applied,
                ApplyOutcome::Changed(ChangeOutcome::Accepted { .. })
            ),
            "{applied:?}"
        );
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.wall_ms += ms;
    }
}

fn key(name: &str) -> ClaimKey {
    ClaimKey::new("north", "desk", name)
}

/// A UUID of version 7 issued at `wall_ms`.
fn dated(wall_ms: u64) -> ClaimKey {
    let (high, low) = (wall_ms >> 16, wall_ms & 0xffff);
    key(&format!("{high:08x}-{low:04x}-7abc-8123-0123456789ab"))
}

/// Guards against a second run after a node died with a claim.
#[test]
fn a_dead_nodes_claim_is_unknown_for_good() {
    let mut desk = ClaimDesk::new();
    let (one, two) = (attempt(1, 1), attempt(2, 2));
    assert_eq!(desk.claim(&key("k"), one), ClaimOutcome::Granted);
    assert_eq!(desk.claim(&key("k"), two), ClaimOutcome::InProgress);
    desk.step(ClaimStep::NodeLost { node: NodeId(1) });
    assert_eq!(desk.claim(&key("k"), two), ClaimOutcome::Unknown);
    desk.pass(23 * HOUR_MS);
    let outcome = desk.claim(&key("k"), attempt(2, 3));
    assert_eq!(outcome, ClaimOutcome::Unknown);
    assert_eq!(
        outcome.refusal(),
        Some((RequestOutcome::Unknown, RefusalCode::BrokenAnswer))
    );
    // It was declared lost wrongly: what it says later of its own attempt still counts.
    let finish = desk.finish(&key("k"), one, ClaimResult::Ran { status: 201 });
    assert_eq!(finish, ClaimOutcome::Noted);
    assert_eq!(
        desk.claim(&key("k"), attempt(3, 4)),
        ClaimOutcome::Ran { status: 201 }
    );
    // Without a word from anyone a claim becomes unknown after the run bound.
    assert_eq!(desk.claim(&key("m"), one), ClaimOutcome::Granted);
    desk.pass(601_000);
    assert_eq!(desk.claim(&key("m"), two), ClaimOutcome::Unknown);
}

/// Guards against keys that are free again although something was sent.
#[test]
fn only_an_attempt_that_sent_nothing_gives_its_key_back() {
    let mut desk = ClaimDesk::new();
    let (one, two) = (attempt(1, 1), attempt(2, 2));
    let release = |by| ClaimStep::Release {
        key: key("k"),
        body: BODY,
        attempt: by,
    };
    desk.claim(&key("k"), one);
    assert_eq!(desk.step(release(two)), ClaimOutcome::Noted);
    assert_eq!(
        desk.claim(&key("k"), attempt(3, 3)),
        ClaimOutcome::InProgress
    );
    assert_eq!(desk.step(release(one)), ClaimOutcome::Noted);
    assert_eq!(desk.claim(&key("k"), one), ClaimOutcome::Withdrawn);
    let other_body = ClaimStep::Claim {
        key: key("k"),
        body: [2; 16],
        attempt: attempt(3, 4),
    };
    assert_eq!(desk.step(other_body), ClaimOutcome::BodyDiffers);
    let third = attempt(3, 5);
    assert_eq!(desk.claim(&key("k"), third), ClaimOutcome::Granted);
    desk.finish(&key("k"), third, ClaimResult::Unknown);
    assert_eq!(desk.step(release(third)), ClaimOutcome::NotHeld);
    assert_eq!(desk.claim(&key("k"), two), ClaimOutcome::Withdrawn);
    assert_eq!(desk.claim(&key("k"), attempt(2, 6)), ClaimOutcome::Unknown);
}

/// Guards against second runs of keys whose records are gone.
#[test]
fn keys_past_the_window_are_refused_and_not_run() {
    let mut desk = ClaimDesk::new();
    let (old, old_dated) = (key("old"), dated(WALL_MS));
    for (number, key) in [&old, &old_dated].into_iter().enumerate() {
        let by = attempt(1, number as u64);
        assert_eq!(desk.claim(key, by), ClaimOutcome::Granted);
        desk.finish(key, by, ClaimResult::Ran { status: 201 });
    }
    desk.pass(25 * HOUR_MS);
    for key in [&old, &old_dated] {
        let outcome = desk.claim(key, attempt(2, 9));
        assert_eq!(outcome, ClaimOutcome::Expired);
        assert_eq!(
            outcome.refusal(),
            Some((RequestOutcome::Unknown, RefusalCode::KeyExpired))
        );
    }
    // A dated key that was never seen is refused by its date, without any memory.
    assert_eq!(
        desk.claim(&dated(WALL_MS + 1), attempt(2, 10)),
        ClaimOutcome::Expired
    );
    assert_eq!(
        desk.state.claims().count("north"),
        ClaimCount {
            kept: 0,
            running: 0,
            spent: 1
        }
    );
    // Neither a longer window nor a wall clock that is set back makes it new again.
    let rules = ClaimsEdit {
        window_s: Some(48 * 3600),
        ..ClaimsEdit::default()
    };
    desk.edit(ConfigEdit::SetClaims { rules });
    desk.wall_ms = WALL_MS;
    assert_eq!(
        desk.claim(&old_dated, attempt(2, 11)),
        ClaimOutcome::Expired
    );
    // Nor does it help to remove the customer and declare it anew.
    desk.edit(ConfigEdit::RemoveCustomer {
        customer: "north".to_owned(),
    });
    assert_eq!(
        desk.claim(&key("new"), attempt(2, 12)),
        ClaimOutcome::UnknownCustomer
    );
    desk.edit(add_customer("north"));
    assert_eq!(desk.claim(&old, attempt(2, 13)), ClaimOutcome::Expired);
    // Only the operator's word does, and only for undated keys.
    desk.edit(ConfigEdit::ForgetKeys {
        customer: "north".to_owned(),
    });
    assert_eq!(desk.claim(&old, attempt(2, 14)), ClaimOutcome::Granted);
    assert_eq!(
        desk.claim(&old_dated, attempt(2, 15)),
        ClaimOutcome::Expired
    );
    let ahead = dated(desk.wall_ms + 48 * HOUR_MS);
    assert_eq!(desk.claim(&ahead, attempt(2, 16)), ClaimOutcome::Ahead);
}

/// Guards against one customer's keys that push out records.
#[test]
fn a_customer_is_bounded_and_forgets_nothing_for_it() {
    let mut desk = ClaimDesk::new();
    desk.edit(add_customer("south"));
    let rules = ClaimsEdit {
        per_customer: Some(3),
        spent_per_customer: Some(4),
        answer_bytes: Some(10),
        answer_budget: Some(15),
        ..ClaimsEdit::default()
    };
    desk.edit(ConfigEdit::SetClaims { rules });
    for number in 0..3 {
        let key = key(&format!("k{number}"));
        assert_eq!(desk.claim(&key, attempt(1, number)), ClaimOutcome::Granted);
        let body = vec![number as u8; if number == 0 { 11 } else { 10 }];
        let answer = ClaimAnswer {
            status: 201,
            body,
            ..ClaimAnswer::default()
        };
        desk.finish(&key, attempt(1, number), ClaimResult::Answered(answer));
    }
    let full = desk.claim(&key("k3"), attempt(1, 3));
    assert_eq!(full, ClaimOutcome::Full);
    assert_eq!(
        full.refusal(),
        Some((RequestOutcome::NotRun, RefusalCode::ClaimUnavailable))
    );
    // Too large an answer, and the oldest one over the budget, leave their status.
    assert_eq!(
        desk.claim(&key("k0"), attempt(2, 4)),
        ClaimOutcome::Ran { status: 201 }
    );
    assert_eq!(
        desk.claim(&key("k1"), attempt(2, 5)),
        ClaimOutcome::Ran { status: 201 }
    );
    assert!(matches!(
        desk.claim(&key("k2"), attempt(2, 6)),
        ClaimOutcome::Recorded(_)
    ));
    let other = ClaimKey::new("south", "desk", "k3");
    assert_eq!(desk.claim(&other, attempt(1, 7)), ClaimOutcome::Granted);
    // Past the window the fingerprints have a bound too: one more undated key has a place, then
    // only dated ones are taken.
    desk.pass(25 * HOUR_MS);
    assert_eq!(desk.claim(&key("k4"), attempt(1, 8)), ClaimOutcome::Granted);
    assert_eq!(desk.claim(&key("k5"), attempt(1, 9)), ClaimOutcome::Full);
    let fresh = dated(desk.wall_ms);
    assert_eq!(desk.claim(&fresh, attempt(1, 10)), ClaimOutcome::Granted);
    assert_eq!(
        desk.claim(&key("k0"), attempt(1, 11)),
        ClaimOutcome::Expired
    );
}
