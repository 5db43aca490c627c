//! Measures how many entries per second become durable, with 1, 16 and 256 entries per sync.
//!
//! ```sh
//! cargo run --release -p ragwortroad_log --example appends_per_second -- [FOLDER]
//! ```

use std::{
    error::Error,
    path::PathBuf,
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_log::prelude::*;

/// Bytes of one entry, about as many as a claim has.
const ENTRY_BYTES: usize = 200;

/// Time for which each batch size is measured.
const SPAN: Duration = Duration::from_secs(3);

fn main() -> Result<(), Box<dyn Error>> {
    let temp = tempfile::tempdir()?;
    let folder = std::env::args_os().nth(1).map(PathBuf::from);
    let path = folder.unwrap_or_else(|| temp.path().join("data"));
    let settings = FolderSettings {
        path,
        fresh_identity: 1,
        ..FolderSettings::default()
    };
    let (mut folder, state) = LogFolder::open(&settings)?;
    let mut index = state.entries.last().map_or(0, |entry| entry.index);
    println!("  entries/sync |   entries/second | sync p50 | sync p99");
    for batch_size in [1, 16, 256] {
        let mut spans = Vec::new();
        let started_at = Instant::now();
        while started_at.elapsed() < SPAN {
            let batch_started_at = Instant::now();
            for _ in 0..batch_size {
                index += 1;
                folder.append(&change(index))?;
            }
            folder.sync()?;
            spans.push(batch_started_at.elapsed());
        }
        let rate = spans.len() as f64 * f64::from(batch_size) / started_at.elapsed().as_secs_f64();
        spans.sort_unstable();
        let p50 = spans[spans.len() / 2];
        let p99 = spans[spans.len() * 99 / 100];
        println!("{batch_size:>14} | {rate:>16.0} | {p50:>8.2?} | {p99:>8.2?}");
    }
    Ok(())
}

fn change(index: u64) -> LogChange {
    let entry = StoredEntry {
        index,
        term: 1,
        bytes: vec![7; ENTRY_BYTES],
    };
    LogChange {
        entries: vec![entry],
        ..LogChange::default()
    }
}
