//! Clients that stop reading their response or sending their request, beside all other load.

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    sync::atomic::Ordering,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{
    SoakRun,
    caller::send,
    processes::{
        MEMORY_MB,
        SoakProcess, //
    },
    replica::LARGE_BYTES, //
};

/// Time in which an edge finds room for a large response beside clients that stall.
const ROOM_TIMEOUT: Duration = Duration::from_secs(10);

/// Body that a client announces and does not send whole.
const ANNOUNCED_BYTES: usize = 900_000;

impl SoakRun {
    /// Stalls again and again until the run is over: reads nothing of a large response, or sends
    /// only the start of a large request.
    pub(crate) fn stall(&self, rng: &mut Pcg64Mcg) {
        while !self.is_finished.load(Ordering::SeqCst) {
            let edge = self.edges[rng.random_range(0..self.edges.len())];
            let request = self.next_request.fetch_add(1, Ordering::SeqCst);
            let is_upload = rng.random_range(0..3) == 0;
            let (length, body) = match is_upload {
                true => (ANNOUNCED_BYTES, vec![b'w'; ANNOUNCED_BYTES / 2]),
                false => (0, Vec::new()),
            };
            let head = format!(
                "POST /safe/{request}/large HTTP/1.1\r\nHost: site.example\r\n\
                 X-Request-Id: stalled-{request}\r\nX-Deadline-Ms: 4000\r\n\
                 Content-Length: {length}\r\n\r\n"
            );
            let pause = Duration::from_millis(rng.random_range(500..6000));
            if let Ok(mut stream) = TcpStream::connect(edge) {
                let sent = stream.write_all(&[head.as_bytes(), &body].concat());
                let started_at = Instant::now();
                while started_at.elapsed() < pause && !self.is_finished.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(100));
                }
                // An edge under faults may refuse or close the connection at any time.
                if sent.is_ok() && is_upload {
                    stream.read(&mut [0; 100]).unwrap_or_default();
                }
            }
        }
    }

    /// Checks that each edge delivers large responses whole while other clients stall.
    pub(crate) fn check_beside_stalled_clients(&self) {
        for edge in &self.edges {
            let started_at = Instant::now();
            loop {
                let request = self.next_request.fetch_add(1, Ordering::SeqCst);
                let id = format!("large-{request}");
                let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "4000")];
                let line = format!("POST /safe/{request}/large");
                let answer = send(*edge, &line, &headers, b"");
                let is_success = answer.status == 200 && answer.is_whole;
                if is_success && answer.body.len() == LARGE_BYTES {
                    break;
                }
                if is_success || started_at.elapsed() > ROOM_TIMEOUT {
                    let (status, length) = (answer.status, answer.body.len());
                    self.record(format!("{line} was answered with {status}, {length} bytes"));
                    break;
                }
            }
        }
    }

    /// Checks that an edge has kept to its memory.
    pub(crate) fn check_memory(&self, edge: &SoakProcess) {
        let peak = edge.peak_memory_kib();
        println!("peak memory of an edge: {peak:?} KiB");
        if peak.is_some_and(|kib| kib > MEMORY_MB * 1024) {
            self.record(format!("an edge used {peak:?} KiB of {MEMORY_MB} MB"));
        }
    }
}
