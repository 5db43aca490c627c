use std::{
    fs,
    io,
    net::SocketAddr,
    path::Path, //
};

use ragwortroad_settings::prelude::*;

/// File in the data folder of a registry that was told of the fleet's first start; it has an address
/// of a seed in each line.
const SEEDS_FILE: &str = "first-start";

/// Name under which the file is written.
const PARTIAL_FILE: &str = "first-start.partial";

/// Keeps the seeds of the fleet's first start in the data folder, if the settings tell of it.
///
/// They do so only once. A process that starts again before the group has bootstrapped must still
/// take part in that, and with the same seeds, since the others wait for it. The file distinguishes
/// it from a process whose disk was lost. It is not synced: a loss of power that takes it also takes
/// whatever the process has done.
pub(crate) fn keep_first_seeds(settings: &ForwardSettings, folder: &Path) {
    if !settings.first_start {
        return;
    }
    if let Err(error) = write_seeds(&settings.seeds, folder) {
        tracing::warn!(%error, "cannot keep the seeds of the first start in the data folder");
    }
}

/// The seeds that bootstrap the group together; none if this data folder is newer than the fleet's first
/// start.
pub(crate) fn first_seeds(settings: &ForwardSettings, folder: &Path) -> Vec<SocketAddr> {
    if settings.first_start {
        return settings.seeds.clone();
    }
    let text = fs::read_to_string(folder.join(SEEDS_FILE)).unwrap_or_default();
    text.lines().filter_map(|line| line.parse().ok()).collect()
}

fn write_seeds(seeds: &[SocketAddr], folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let lines: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let partial = folder.join(PARTIAL_FILE);
    fs::write(&partial, lines.join("\n"))?;
    fs::rename(partial, folder.join(SEEDS_FILE))
}
