//! Which clients are disconnected for the memory that their unfinished transfers occupy.

mod common;

use common::at;
use ragwortroad_dispatch::prelude::*;

/// Time in milliseconds after which a client that moves nothing counts as slow.
const SLOW_AFTER: u64 = 1001;

fn unread_response(bytes: usize) -> ClientTransfer {
    let mut transfer = ClientTransfer::default();
    transfer.begin_response(bytes, at(0));
    transfer
}

/// Guards against clients that read at once and are disconnected for those that do not.
#[test]
fn clients_that_read_keep_their_response() {
    let mut transfer = unread_response(1 << 20);
    for step in 1..=20 {
        transfer.note_sent(2500, at(step * 400));
        assert_eq!(transfer.reclaimable(at(step * 400 + 399)), 0);
    }
    assert_eq!(transfer.reclaimable(at(20 * 400 + SLOW_AFTER)), 1 << 20);
    transfer.note_sent(1 << 20, at(10_000));
    assert_eq!(transfer.reclaimable(at(20_000)), 0, "all of it was read");
}

/// Guards against a client that keeps its room for good by a byte now and then.
#[test]
fn a_byte_a_second_is_slow() {
    let mut download = unread_response(1 << 20);
    let mut upload = ClientTransfer::default();
    upload.begin_request(at(0));
    upload.note_received(1 << 20, at(0));
    for second in 1..=5 {
        download.note_sent(1, at(second * 1000));
        upload.note_received(1, at(second * 1000));
    }
    assert_eq!(download.reclaimable(at(5000)), 1 << 20);
    assert_eq!(upload.reclaimable(at(5000)), (1 << 20) + 5);
    upload.finish_request();
    assert_eq!(upload.reclaimable(at(9000)), 0, "the endpoint is awaited");
}

/// Guards against clients that are disconnected without any use, or in larger numbers than needed.
#[test]
fn the_fewest_clients_that_free_enough_are_chosen() {
    let sizes = [1, 4000, 90, 2000, 5000];
    let transfers = || sizes.map(unread_response).into_iter().enumerate();
    let choose = |missing, ms| choose_slow_clients(transfers(), missing, at(ms));
    assert_eq!(choose(6000, SLOW_AFTER), [4, 1]);
    assert_eq!(choose(5000, SLOW_AFTER), [4]);
    assert_eq!(choose(12_000, SLOW_AFTER), [0; 0], "they hold too little");
    assert_eq!(choose(1, SLOW_AFTER - 1), [0; 0], "none is slow");
}
