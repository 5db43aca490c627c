//! Tests of the pacing of messages that share a registry's link.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

/// Bytes per second of a link of 6 Mbit/s.
const LINK_RATE: f64 = 750_000.0;

/// Receivers of each message.
const RECEIVERS: usize = 301;

/// Size of an item of each kind in bytes.
const ITEM_BYTES: f64 = 30.0;

/// Simulated time.
const RUN_TIME: Duration = Duration::from_secs(20);

/// Interval at which a registry looks for messages that are due.
const TICK: Duration = Duration::from_millis(10);

/// Simulates kinds of messages that always have something to send; returns the bytes of each.
fn saturate(paces: &[SendPace]) -> Vec<usize> {
    let mut account = LinkAccount::new(LINK_RATE);
    let mut next_at = vec![ClockTime::ZERO; paces.len()];
    let mut sent = vec![0; paces.len()];
    let mut now = ClockTime::ZERO;
    while now < ClockTime::ZERO.after(RUN_TIME) {
        let mut order: Vec<usize> = (0..paces.len()).collect();
        order.sort_by_key(|kind| next_at[*kind]);
        for kind in order {
            if now < next_at[kind] || !account.is_free(now) {
                continue;
            }
            let items = paces[kind].max_batch_items(RECEIVERS, ITEM_BYTES);
            let bytes = items * RECEIVERS * ITEM_BYTES as usize;
            account.note_sent(bytes, now);
            sent[kind] += bytes;
            next_at[kind] = now.after(paces[kind].delay_after(bytes));
        }
        now = now.after(TICK);
    }
    sent
}

/// Guards against kinds of paced messages that fill a link together and delay answers.
#[test]
fn all_kinds_of_paced_messages_leave_room_on_the_link() {
    let paces = [
        SendPace::for_configs(LINK_RATE),
        SendPace::for_updates(LINK_RATE),
        SendPace::for_loads(LINK_RATE),
        SendPace::for_locations(LINK_RATE),
    ];
    let sent = saturate(&paces);
    let capacity = LINK_RATE * RUN_TIME.as_secs_f64();
    let used = sent.iter().sum::<usize>() as f64 / capacity;
    assert!(used < 0.7, "{used:.2} of the link is used");
    for (kind, bytes) in sent.iter().enumerate() {
        let share = *bytes as f64 / capacity;
        assert!(share > 0.05, "kind {kind} gets {share:.2} of the link");
    }
}

/// Guards against a kind of message that waits although the others have nothing to send.
#[test]
fn a_kind_of_message_alone_gets_its_share() {
    let sent = saturate(&[SendPace::for_configs(LINK_RATE)]);
    let used = sent[0] as f64 / (LINK_RATE * RUN_TIME.as_secs_f64());
    assert!(used > 0.5, "{used:.2} of the link is used");
}
