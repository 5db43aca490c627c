//! What was sent, answered and run, with times.

use std::{
    fmt::Write as _,
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    /// If lines are printed at once: the start in Unix milliseconds.
    base: Option<u64>,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            base: None,
            lines: Arc::default(),
        }
    }

    /// A record that prints what is added, with times since `base` in Unix milliseconds.
    pub fn printing(base: u64) -> Self {
        Self {
            base: Some(base),
            ..Self::new()
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: String) -> f64 {
        if let Some(base) = self.base {
            println!("{} {text}", unix_ms().saturating_sub(base) as f64 / 1000.0);
            return 0.0;
        }
        let now = self.now();
        self.lines.lock().unwrap().push((now, text));
        now
    }

    /// Adds lines that another process has printed.
    pub fn merge(&self, text: &str) {
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        let lines = lines.filter_map(|(at, line)| Some((at.parse().ok()?, line.to_owned())));
        self.lines.lock().unwrap().extend(lines);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut text = String::new();
        for (at, line) in lines {
            writeln!(text, "{at:9.3} {line}").ok();
        }
        fs::write(path, text)
    }
}

/// The time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A small generator of random numbers, so that a run draws the same choices each time.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 11) % limit as u64) as usize
    }
}
