//! What was sent, answered and run, with times.

use std::{
    fmt::Write as _,
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: String) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text));
        now
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
