//! Streams that their clients take up again while replicas run two software versions.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    thread,
    time::Duration, //
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{
    SoakRun,
    replica::FIRST_VERSION, //
};

/// Events after which a client leaves its stream.
const READ_EVENTS: usize = 4;

/// Time for which a client waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Share of the clients that come back late, when all processes may have been killed meanwhile.
const LATE_SHARE: f64 = 0.3;

/// Longest time after which a client comes back, in milliseconds.
const MAX_RETURN_MS: u64 = 4000;

/// What became of streams that were taken up again.
#[derive(Debug, Default)]
pub(crate) struct ResumeCounts {
    taken_up: AtomicUsize,
    went_on: AtomicUsize,
}

impl ResumeCounts {
    pub(crate) fn report(&self, seed: u64) {
        let taken_up = self.taken_up.load(Ordering::SeqCst);
        let went_on = self.went_on.load(Ordering::SeqCst);
        println!("seed {seed}: {went_on} of {taken_up} streams that were taken up went on");
    }
}

impl SoakRun {
    /// Begins a stream at a random edge, leaves it, and takes it up again at a random edge.
    pub(crate) fn take_up_stream(&self, rng: &mut Pcg64Mcg) {
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let path = format!("/frail/{request}/stream");
        let began_as = format!("begun-{request}");
        let begun = read_events(self.random_edge(rng), &path, &began_as, "", READ_EVENTS);
        let Some(last) = last_event(&begun) else {
            return;
        };
        self.resume_counts.taken_up.fetch_add(1, Ordering::SeqCst);
        if rng.random_bool(LATE_SHARE) {
            let pause = rng.random_range(0..MAX_RETURN_MS);
            thread::sleep(Duration::from_millis(pause));
        }
        let resumes = format!("Resumes: {began_as}\r\nLast-Event-Id: {last}\r\n");
        let id = format!("again-{request}");
        let rest = read_events(self.random_edge(rng), &path, &id, &resumes, usize::MAX);
        if last_event(&rest).is_some() {
            self.resume_counts.went_on.fetch_add(1, Ordering::SeqCst);
        }
        let joined = [begun, rest].join("\n");
        if has_two_versions(&joined) {
            self.record(format!("{path} is joined from two versions: {joined:?}"));
        }
    }

    fn random_edge(&self, rng: &mut Pcg64Mcg) -> SocketAddr {
        self.edges[rng.random_range(0..self.edges.len())]
    }
}

/// Sends a request for a stream and returns what came of it until `count` events were complete.
fn read_events(
    address: SocketAddr,
    path: &str,
    id: &str,
    more_headers: &str,
    count: usize,
) -> String {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nConnection: close\r\n{more_headers}Content-Length: 0\r\n\r\n"
    );
    let mut received = Vec::new();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, READ_TIMEOUT) else {
        return String::new();
    };
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("failed to set the read timeout");
    if stream.write_all(request.as_bytes()).is_err() {
        return String::new();
    }
    let mut buffer = [0; 512];
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if text.matches("data: piece").count() >= count {
            return text;
        }
        // An edge may be killed at any time.
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return text,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Number of the last complete event.
fn last_event(text: &str) -> Option<u64> {
    let (complete, _) = text.rsplit_once("\n\n")?;
    let mut lines = complete.lines().rev();
    lines.find_map(|line| line.strip_prefix("id: ")?.parse().ok())
}

fn has_two_versions(text: &str) -> bool {
    let pieces = text.lines().filter(|line| line.starts_with("data: piece"));
    let version = |line: &str| {
        let version = line
            .split_once(" of ")
            .map(|(_, version)| version.to_owned());
        version.unwrap_or_else(|| FIRST_VERSION.to_owned())
    };
    let mut versions: Vec<String> = pieces.map(version).collect();
    versions.dedup();
    versions.len() > 1
}
