use std::path::PathBuf;

use clap::Parser;

/// Compares routing variants on the same days, seeds and sites.
#[derive(Debug)]
#[derive(Parser)]
pub(crate) struct CommandLine {
    /// Benchmark program that accepts `run SITE DAY`.
    #[arg(long)]
    pub(crate) bench: PathBuf,
    /// Clone of the repository in which the days are played; created if missing. The settings
    /// template in it is changed, and its journal receives the entries.
    #[arg(long)]
    pub(crate) work: PathBuf,
    /// Settings files of the variants, the baseline first; `none` adds no settings.
    #[arg(long = "way", required = true)]
    pub(crate) ways: Vec<String>,
    /// Site files, relative to the clone.
    #[arg(long = "site", required = true)]
    pub(crate) sites: Vec<PathBuf>,
    /// Names of days, or files that describe days.
    #[arg(long = "day", required = true)]
    pub(crate) days: Vec<String>,
    /// Random seeds; each variant runs once per seed.
    #[arg(long = "seed", required = true)]
    pub(crate) seeds: Vec<u64>,
}
