use std::{
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use flume::{
    Receiver,
    RecvTimeoutError,
    Sender, //
};
use ragwortroad_types::prelude::*;

/// Delay before the next announcement after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of one announcement.
const RESPONSE_TIMEOUT_SECONDS: u64 = 2;

/// The thread that announces one stand-in to its home node.
pub(crate) struct AnnounceLoop {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

/// The nodes that a stand-in announces itself to, and its home epoch.
struct AnnounceTarget {
    /// Invariant: never empty.
    addresses: Vec<String>,
    /// Index of the address in use.
    current_index: usize,
    /// The address that the last announcement was sent to.
    home: Option<String>,
    /// Increases whenever `home` changes.
    epoch: u64,
}

impl AnnounceLoop {
    /// Starts a thread that sends the announcements that `make_announcement` returns for a home
    /// epoch, with the join secret, to the first address that responds. Returns `None` if there are
    /// no addresses.
    pub(crate) fn start(
        addresses: Vec<String>,
        secret: String,
        make_announcement: impl FnMut(u64) -> AnnounceWire + Send + 'static,
    ) -> std::io::Result<Option<Self>> {
        if addresses.is_empty() {
            return Ok(None);
        }
        let (stop, stop_signal) = flume::bounded(1);
        let target = AnnounceTarget {
            addresses,
            current_index: 0,
            home: None,
            epoch: 0,
        };
        let thread = thread::Builder::new()
            .name("announce".to_owned())
            .spawn(move || run_announcer(&stop_signal, target, &secret, make_announcement))?;
        Ok(Some(Self { stop, thread }))
    }

    /// Stops the thread and joins it.
    pub(crate) fn stop(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            tracing::error!("the announcing thread of a stand-in panicked");
        }
    }
}

fn run_announcer(
    stop_signal: &Receiver<()>,
    mut target: AnnounceTarget,
    secret: &str,
    mut make_announcement: impl FnMut(u64) -> AnnounceWire,
) {
    let mut delay = Duration::ZERO;
    while stop_signal.recv_timeout(delay) == Err(RecvTimeoutError::Timeout) {
        let address = target.next_address();
        let announce = make_announcement(target.epoch);
        delay = match send_announce(&address, secret, &announce) {
            Some(response) => {
                target.record_success(address, response.announce_to);
                Duration::from_millis(response.every_ms.max(1))
            }
            None => {
                target.record_failure();
                RETRY_DELAY
            }
        };
    }
}

impl AnnounceTarget {
    /// Returns the address for the next announcement. If it differs from the last home, the epoch
    /// increases, so that the fleet can tell which of two nodes has the newer announcement.
    fn next_address(&mut self) -> String {
        let address = self.addresses[self.current_index].clone();
        if self.home.as_ref() != Some(&address) {
            self.epoch += 1;
            self.home = Some(address.clone());
        }
        address
    }

    fn record_success(&mut self, address: String, next_addresses: Vec<String>) {
        if !next_addresses.is_empty() {
            self.addresses = next_addresses;
            self.current_index = 0;
        }
        self.home = Some(address);
    }

    fn record_failure(&mut self) {
        self.current_index = (self.current_index + 1) % self.addresses.len();
    }
}

fn send_announce(address: &str, secret: &str, announce: &AnnounceWire) -> Option<AnnounceResponse> {
    let body = serde_json::to_string(announce).ok()?;
    let response = minreq::post(format!("http://{address}/v1/announce"))
        .with_header("authorization", format!("Bearer {secret}"))
        .with_header("content-type", "application/json")
        .with_follow_redirects(false)
        .with_timeout(RESPONSE_TIMEOUT_SECONDS)
        .with_body(body)
        .send()
        .ok()?;
    // A truncated body is not valid JSON, so its length needs no check.
    match response.status_code {
        200 => serde_json::from_slice(response.as_bytes()).ok(),
        status => {
            tracing::warn!(status, address, "node refused the announcement");
            None
        }
    }
}
