use std::path::PathBuf;

use clap::Parser;

/// Compares ways to decide on the same days, seeds and sites.
#[derive(Debug)]
#[derive(Parser)]
pub(crate) struct CommandLine {
    /// The program that runs days and takes `run SITE DAY`.
    #[arg(long)]
    pub(crate) bench: PathBuf,
    /// A clone of the repository to run in; made if it is not there. Its template of the settings
    /// is changed, and its journal gets the entries.
    #[arg(long)]
    pub(crate) work: PathBuf,
    /// Files of settings, the one that the others are compared with first; `none` adds no settings.
    #[arg(long = "way", required = true)]
    pub(crate) ways: Vec<String>,
    /// Site files, as seen from the clone.
    #[arg(long = "site", required = true)]
    pub(crate) sites: Vec<PathBuf>,
    /// Names of days, or files of days.
    #[arg(long = "day", required = true)]
    pub(crate) days: Vec<String>,
    /// Seeds of the runs.
    #[arg(long = "seed", required = true)]
    pub(crate) seeds: Vec<u64>,
}
