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

/// Time between announcements until a node says otherwise, and after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Seconds that a node has for its answer.
const RESPONSE_TIMEOUT_SECONDS: u64 = 2;

/// The thread that announces one stand-in.
pub(crate) struct AnnounceLoop {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

/// Whom a stand-in announces itself to, and how often it went over to another node.
struct AnnounceTarget {
    /// Invariant: never empty.
    addresses: Vec<String>,
    /// Place of the address in use.
    current_index: usize,
    /// The address that took the last announcement.
    home: Option<String>,
    epoch: u64,
}

impl AnnounceLoop {
    /// Announces what `make` returns for a home epoch, with the secret, to the first address that
    /// answers.
    pub(crate) fn start(
        addresses: Vec<String>,
        secret: String,
        make: impl FnMut(u64) -> AnnounceWire + Send + 'static,
    ) -> std::io::Result<Option<Self>> {
        if addresses.is_empty() {
            return Ok(None);
        }
        let (stop, stopped) = flume::bounded(1);
        let target = AnnounceTarget {
            addresses,
            current_index: 0,
            home: None,
            epoch: 0,
        };
        let thread = thread::Builder::new()
            .name("announce".to_owned())
            .spawn(move || run_announcer(&stopped, target, &secret, make))?;
        Ok(Some(Self { stop, thread }))
    }

    /// Ends the thread and joins it.
    pub(crate) fn stop(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            tracing::error!("an announcing thread panicked");
        }
    }
}

fn run_announcer(
    stopped: &Receiver<()>,
    mut target: AnnounceTarget,
    secret: &str,
    mut make: impl FnMut(u64) -> AnnounceWire,
) {
    let mut pause = Duration::ZERO;
    while stopped.recv_timeout(pause) == Err(RecvTimeoutError::Timeout) {
        let address = target.next_address();
        let announce = make(target.epoch);
        pause = match send_announce(&address, secret, &announce) {
            Some(answer) => {
                target.record_success(address, answer.announce_to);
                Duration::from_millis(answer.every_ms.max(1))
            }
            None => {
                target.record_failure();
                RETRY_DELAY
            }
        };
    }
}

impl AnnounceTarget {
    /// The address to use now. Going over to another one than the last home raises the epoch, so
    /// that the fleet can tell which of two nodes has the endpoint's newer word.
    fn next_address(&mut self) -> String {
        let address = self.addresses[self.current_index].clone();
        if self.home.as_ref() != Some(&address) {
            self.epoch += 1;
            self.home = Some(address.clone());
        }
        address
    }

    fn record_success(&mut self, address: String, next: Vec<String>) {
        if !next.is_empty() {
            self.addresses = next;
            self.current_index = 0;
        }
        self.home = Some(address);
    }

    fn record_failure(&mut self) {
        self.current_index = (self.current_index + 1) % self.addresses.len();
    }
}

fn send_announce(address: &str, secret: &str, announce: &AnnounceWire) -> Option<AnnounceAnswer> {
    let body = serde_json::to_string(announce).ok()?;
    let answer = minreq::post(format!("http://{address}/v1/announce"))
        .with_header("authorization", format!("Bearer {secret}"))
        .with_header("content-type", "application/json")
        .with_follow_redirects(false)
        .with_timeout(RESPONSE_TIMEOUT_SECONDS)
        .with_body(body)
        .send()
        .ok()?;
    // A body that was cut short is no JSON, so it needs no count here.
    match answer.status_code {
        200 => serde_json::from_slice(answer.as_bytes()).ok(),
        status => {
            tracing::warn!(status, address, "an announcement was refused");
            None
        }
    }
}
