//! Clients that ask the directory where to connect, and send requests.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    record::{Draw, Record},
    wire::name,
};

pub const KEY: &str = "key-of-the-school";
pub const HOST: &str = "school.example";

/// Time for which a client keeps an answer of the directory.
const KEEP: Duration = Duration::from_secs(2);

/// Shared first parts of prompts.
const PROMPTS: usize = 89;

/// A request as its client saw it.
#[derive(Clone)]
pub struct Sent {
    pub at: f64,
    pub id: String,
    pub edge: SocketAddr,
    /// Status of the answer; 0 if there was none, or if it broke off.
    pub status: u16,
    /// Events in a whole answer.
    pub events: usize,
}

/// The addresses in an answer of the directory.
pub fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let line = format!("GET /resolve?name={HOST}&region=lagos&zone=lagos-ikeja");
    let Ok(answer) = call(directory, &line, &[], b"", Duration::from_secs(1)) else {
        return Vec::new();
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text
        .split('[')
        .nth(1)
        .and_then(|rest| rest.split(']').next());
    let words = list.unwrap_or_default().split(',');
    words
        .filter_map(|word| word.trim_matches('"').parse().ok())
        .collect()
}

pub struct ClientPlan {
    pub directory: SocketAddr,
    /// Method and path prefix; the number of the request is appended.
    pub line: &'static str,
    pub deadline: Duration,
    pub pause: Duration,
    pub seed: u64,
}

/// Sends requests one after the other until `is_over`.
pub fn run_client(
    plan: &ClientPlan,
    record: &Record,
    sent: &Arc<Mutex<Vec<Sent>>>,
    next: &AtomicU64,
    is_over: &AtomicBool,
) {
    let mut draw = Draw::new(plan.seed);
    let mut known: (Instant, Vec<SocketAddr>) = (Instant::now(), Vec::new());
    while !is_over.load(Ordering::SeqCst) {
        if known.1.is_empty() || known.0.elapsed() > KEEP {
            let found = resolve(plan.directory);
            if !found.is_empty() {
                known = (Instant::now(), found);
            }
        }
        if known.1.is_empty() {
            thread::sleep(Duration::from_millis(100));
            continue;
        }
        let edge = known.1[draw.below(known.1.len())];
        let id = format!("r{:06}", next.fetch_add(1, Ordering::SeqCst));
        let at = record.add(format!("{id} is sent to {edge}"));
        let line = format!("{}{id}", plan.line);
        let key = format!("Token {KEY}");
        let number = draw.below(PROMPTS);
        let prefix = format!(
            "5c1e{number:04x}:699,{:x}:130",
            0x1000 + at.to_bits() % 0xFFFF_FFFF
        );
        let deadline = plan.deadline.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", deadline.as_str()),
            ("Authorization", key.as_str()),
            ("X-Model", "m"),
            (name("token_counts"), "830,300"),
            (name("prompt_prefix"), prefix.as_str()),
        ];
        let answer = call(edge, &line, &headers, b"{}", plan.deadline);
        let (status, events) = answer.map_or((0, 0), |answer| {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let events = text.lines().filter(|line| line.starts_with("id: "));
            (answer.status(), events.count())
        });
        record.add(match status {
            0 => format!("{id} gets no whole answer"),
            status => format!("{id} is answered with {status}, {events} events"),
        });
        sent.lock().unwrap().push(Sent {
            at,
            id,
            edge,
            status,
            events,
        });
        let pause = plan.pause.as_millis() as usize;
        let pause = pause / 2 + draw.below(pause);
        thread::sleep(Duration::from_millis(pause as u64));
    }
}
