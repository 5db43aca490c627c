use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Bytes that a client must read or send within [`PROGRESS_TIME`], or else it counts as slow.
const PROGRESS_BYTES: usize = 4 << 10;

/// Longest time in which a client that is not slow moves [`PROGRESS_BYTES`].
const PROGRESS_TIME: Duration = Duration::from_secs(1);

/// Body that a process holds in memory until its client has sent or read the rest of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientTransfer {
    /// Bytes held; 0 while nothing depends on the client.
    held: usize,
    /// Bytes of a response that have yet to be passed to the client's connection.
    unsent: usize,
    /// Bytes moved since `progressed_at`.
    moved: usize,
    /// When the client had last moved enough bytes, or the transfer began.
    progressed_at: ClockTime,
    /// Whether the client's connection takes no bytes until the client reads.
    is_blocked: bool,
}

impl ClientTransfer {
    /// Begins to receive a request body.
    pub fn begin_request(&mut self, now: ClockTime) {
        *self = Self {
            progressed_at: now,
            ..Self::default()
        };
    }

    /// Records that bytes of the request body have arrived.
    pub fn note_received(&mut self, bytes: usize, now: ClockTime) {
        self.held += bytes;
        self.note_moved(bytes, now);
    }

    /// Records that the request body is complete, so that the client need not do anything.
    pub fn finish_request(&mut self) {
        self.held = 0;
    }

    /// Begins to send a complete response body.
    pub fn begin_response(&mut self, bytes: usize, now: ClockTime) {
        *self = Self {
            held: bytes,
            unsent: bytes,
            progressed_at: now,
            ..Self::default()
        };
    }

    /// Records that the client's connection has taken bytes.
    pub fn note_sent(&mut self, bytes: usize, now: ClockTime) {
        self.is_blocked = false;
        self.unsent = self.unsent.saturating_sub(bytes);
        if self.unsent == 0 {
            self.held = 0;
        }
        self.note_moved(bytes, now);
    }

    /// Records that the client's connection takes no bytes now.
    pub fn note_blocked(&mut self) {
        self.is_blocked = true;
    }

    /// Returns whether part of a response has yet to be passed to the client's connection.
    pub fn has_unsent(&self) -> bool {
        self.unsent > 0 || self.is_blocked
    }

    fn note_moved(&mut self, bytes: usize, now: ClockTime) {
        self.moved += bytes;
        if self.moved >= PROGRESS_BYTES {
            self.moved = 0;
            self.progressed_at = now;
        }
    }

    /// Returns the bytes that ending the transfer would free now: those that a slow client
    /// occupies.
    pub fn reclaimable(&self, now: ClockTime) -> usize {
        let is_slow = now.since(self.progressed_at) > PROGRESS_TIME;
        if is_slow { self.held } else { 0 }
    }
}

/// Selects the clients to disconnect so that at least `missing` bytes become free, the largest
/// transfers first; none if all slow clients together do not hold enough.
///
/// Few clients lose their response that way, and none of them for nothing.
pub fn choose_slow_clients<K>(
    transfers: impl Iterator<Item = (K, ClientTransfer)>,
    missing: usize,
    now: ClockTime,
) -> Vec<K> {
    let slow = transfers.map(|(client, transfer)| (client, transfer.reclaimable(now)));
    let mut slow: Vec<(K, usize)> = slow.filter(|(_, bytes)| *bytes > 0).collect();
    slow.sort_by_key(|(_, bytes)| std::cmp::Reverse(*bytes));
    let mut freed = 0;
    let mut chosen = Vec::new();
    for (client, bytes) in slow {
        if freed >= missing {
            break;
        }
        freed += bytes;
        chosen.push(client);
    }
    if freed < missing {
        chosen.clear();
    }
    chosen
}
