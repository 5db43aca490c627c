//! Outcomes of claims in each state of a key, and how the age of a key is determined.
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

struct ClaimHarness {
    state: FleetState,
    now_ms: u64,
    wall_ms: u64,
}

impl ClaimHarness {
    fn new() -> Self {
        let state = common::state_with(&["north"]);
        Self {
            state,
            now_ms: 0,
            wall_ms: WALL_MS,
        }
    }

    fn apply(&mut self, action: StateAction) -> ApplyOutcome {
        let mut command = command(self.now_ms, action);
        command.stamp.wall_ms = self.wall_ms;
        self.state
            .apply(self.state.applied() + 1, &command.to_bytes())
            .unwrap()
    }

    fn step(&mut self, step: ClaimStep) -> ClaimOutcome {
        match self.apply(StateAction::Claims(vec![step])) {
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
        let apply_outcome = self.apply(StateAction::Change(change));
        assert!(
            matches!(
                apply_outcome,
                ApplyOutcome::Changed(ChangeOutcome::Accepted { .. })
            ),
            "{apply_outcome:?}"
        );
    }

    fn advance_time(&mut self, ms: u64) {
        self.now_ms += ms;
        self.wall_ms += ms;
    }
}

fn key(name: &str) -> ClaimKey {
    ClaimKey::new("north", "desk", name)
}

/// Returns a key that is a UUID of version 7 issued at `wall_ms`.
fn dated(wall_ms: u64) -> ClaimKey {
    let (high, low) = (wall_ms >> 16, wall_ms & 0xffff);
    key(&format!("{high:08x}-{low:04x}-7abc-8123-0123456789ab"))
}

/// A request could run twice if the claim of a node that died were granted to another node. Its
/// outcome must stay unknown until the node itself reports one.
#[test]
fn claim_of_a_lost_node_stays_unknown() {
    let mut harness = ClaimHarness::new();
    let (one, two) = (attempt(1, 1), attempt(2, 2));
    assert_eq!(harness.claim(&key("k"), one), ClaimOutcome::Granted);
    assert_eq!(harness.claim(&key("k"), two), ClaimOutcome::InProgress);
    harness.step(ClaimStep::NodeLost { node: NodeId(1) });
    assert_eq!(harness.claim(&key("k"), two), ClaimOutcome::Unknown);
    harness.advance_time(23 * HOUR_MS);
    let outcome = harness.claim(&key("k"), attempt(2, 3));
    assert_eq!(outcome, ClaimOutcome::Unknown);
    assert_eq!(
        outcome.refusal(),
        Some((RequestOutcome::Unknown, RefusalCode::BrokenAnswer))
    );
    // The node was wrongly declared lost; its later report about its own attempt still counts.
    let finish = harness.finish(&key("k"), one, ClaimResult::Ran { status: 201 });
    assert_eq!(finish, ClaimOutcome::Noted);
    assert_eq!(
        harness.claim(&key("k"), attempt(3, 4)),
        ClaimOutcome::Ran { status: 201 }
    );
    // Without any report, a claim becomes unknown after the run bound.
    assert_eq!(harness.claim(&key("m"), one), ClaimOutcome::Granted);
    harness.advance_time(601_000);
    assert_eq!(harness.claim(&key("m"), two), ClaimOutcome::Unknown);
}

/// A request could run twice if a key were freed although bytes of its attempt were sent, by
/// another attempt's release or by a release after the finish.
#[test]
fn only_an_unsent_attempt_can_release_its_key() {
    let mut harness = ClaimHarness::new();
    let (one, two) = (attempt(1, 1), attempt(2, 2));
    let release = |by| ClaimStep::Release {
        key: key("k"),
        body: BODY,
        attempt: by,
    };
    harness.claim(&key("k"), one);
    assert_eq!(harness.step(release(two)), ClaimOutcome::Noted);
    assert_eq!(
        harness.claim(&key("k"), attempt(3, 3)),
        ClaimOutcome::InProgress
    );
    assert_eq!(harness.step(release(one)), ClaimOutcome::Noted);
    assert_eq!(harness.claim(&key("k"), one), ClaimOutcome::Withdrawn);
    let other_body = ClaimStep::Claim {
        key: key("k"),
        body: [2; 16],
        attempt: attempt(3, 4),
    };
    assert_eq!(harness.step(other_body), ClaimOutcome::BodyDiffers);
    let third = attempt(3, 5);
    assert_eq!(harness.claim(&key("k"), third), ClaimOutcome::Granted);
    harness.finish(&key("k"), third, ClaimResult::Unknown);
    assert_eq!(harness.step(release(third)), ClaimOutcome::NotHeld);
    assert_eq!(harness.claim(&key("k"), two), ClaimOutcome::Withdrawn);
    assert_eq!(
        harness.claim(&key("k"), attempt(2, 6)),
        ClaimOutcome::Unknown
    );
}

/// A request could run twice after the record of its key was dropped: the key is too old, the
/// window was made longer, the wall clock was set back, or the customer was removed and added
/// again.
#[test]
fn keys_past_the_window_are_refused_and_not_run() {
    let mut harness = ClaimHarness::new();
    let (old, old_dated) = (key("old"), dated(WALL_MS));
    for (number, key) in [&old, &old_dated].into_iter().enumerate() {
        let by = attempt(1, number as u64);
        assert_eq!(harness.claim(key, by), ClaimOutcome::Granted);
        harness.finish(key, by, ClaimResult::Ran { status: 201 });
    }
    harness.advance_time(25 * HOUR_MS);
    for key in [&old, &old_dated] {
        let outcome = harness.claim(key, attempt(2, 9));
        assert_eq!(outcome, ClaimOutcome::Expired);
        assert_eq!(
            outcome.refusal(),
            Some((RequestOutcome::Unknown, RefusalCode::KeyExpired))
        );
    }
    // A dated key that was never seen is refused by its date, without a record.
    assert_eq!(
        harness.claim(&dated(WALL_MS + 1), attempt(2, 10)),
        ClaimOutcome::Expired
    );
    assert_eq!(
        harness.state.claims().count("north"),
        ClaimCount {
            kept: 0,
            running: 0,
            spent: 1
        }
    );
    // Neither a longer window nor a wall clock that is set back makes the key new again.
    let rules = ClaimsEdit {
        window_s: Some(48 * 3600),
        ..ClaimsEdit::default()
    };
    harness.edit(ConfigEdit::SetClaims { rules });
    harness.wall_ms = WALL_MS;
    assert_eq!(
        harness.claim(&old_dated, attempt(2, 11)),
        ClaimOutcome::Expired
    );
    // Neither does removing the customer and adding it again.
    harness.edit(ConfigEdit::RemoveCustomer {
        customer: "north".to_owned(),
    });
    assert_eq!(
        harness.claim(&key("new"), attempt(2, 12)),
        ClaimOutcome::UnknownCustomer
    );
    harness.edit(add_customer("north"));
    assert_eq!(harness.claim(&old, attempt(2, 13)), ClaimOutcome::Expired);
    // Only the operator's declaration does, and only for undated keys.
    harness.edit(ConfigEdit::ForgetKeys {
        customer: "north".to_owned(),
    });
    assert_eq!(harness.claim(&old, attempt(2, 14)), ClaimOutcome::Granted);
    assert_eq!(
        harness.claim(&old_dated, attempt(2, 15)),
        ClaimOutcome::Expired
    );
    let ahead = dated(harness.wall_ms + 48 * HOUR_MS);
    assert_eq!(harness.claim(&ahead, attempt(2, 16)), ClaimOutcome::Ahead);
}

/// A customer with many keys could evict records that prevent a second run, or use up the limit of
/// another customer. Its new keys must be refused instead.
#[test]
fn customer_limits_never_evict_records() {
    let mut harness = ClaimHarness::new();
    harness.edit(add_customer("south"));
    let rules = ClaimsEdit {
        per_customer: Some(3),
        spent_per_customer: Some(4),
        answer_bytes: Some(10),
        answer_budget: Some(15),
        ..ClaimsEdit::default()
    };
    harness.edit(ConfigEdit::SetClaims { rules });
    for number in 0..3 {
        let key = key(&format!("k{number}"));
        assert_eq!(
            harness.claim(&key, attempt(1, number)),
            ClaimOutcome::Granted
        );
        let body = vec![number as u8; if number == 0 { 11 } else { 10 }];
        let answer = ClaimAnswer {
            status: 201,
            body,
            ..ClaimAnswer::default()
        };
        harness.finish(&key, attempt(1, number), ClaimResult::Answered(answer));
    }
    let full = harness.claim(&key("k3"), attempt(1, 3));
    assert_eq!(full, ClaimOutcome::Full);
    assert_eq!(
        full.refusal(),
        Some((RequestOutcome::NotRun, RefusalCode::ClaimUnavailable))
    );
    // A response that is too large, and the oldest one beyond the budget, keep only their status.
    assert_eq!(
        harness.claim(&key("k0"), attempt(2, 4)),
        ClaimOutcome::Ran { status: 201 }
    );
    assert_eq!(
        harness.claim(&key("k1"), attempt(2, 5)),
        ClaimOutcome::Ran { status: 201 }
    );
    assert!(matches!(
        harness.claim(&key("k2"), attempt(2, 6)),
        ClaimOutcome::Recorded(_)
    ));
    let other = ClaimKey::new("south", "desk", "k3");
    assert_eq!(harness.claim(&other, attempt(1, 7)), ClaimOutcome::Granted);
    // Fingerprints past the window are bounded too: one more undated key fits, then only dated keys
    // are accepted.
    harness.advance_time(25 * HOUR_MS);
    assert_eq!(
        harness.claim(&key("k4"), attempt(1, 8)),
        ClaimOutcome::Granted
    );
    assert_eq!(harness.claim(&key("k5"), attempt(1, 9)), ClaimOutcome::Full);
    let fresh = dated(harness.wall_ms);
    assert_eq!(harness.claim(&fresh, attempt(1, 10)), ClaimOutcome::Granted);
    assert_eq!(
        harness.claim(&key("k0"), attempt(1, 11)),
        ClaimOutcome::Expired
    );
}
