use std::{
    fs,
    io,
    net::SocketAddr,
    path::Path, //
};

use ragwortroad_settings::prelude::*;

/// File in the data folder of a registry that was told of the fleet's first start; it has an address
/// of a seed in each line.
const MARK_FILE: &str = "first-start";

/// Name under which the file is written.
const PARTIAL_FILE: &str = "first-start.partial";

/// Keeps the seeds of the fleet's first start in the data folder, if the settings tell of it.
///
/// They do so only once. A process that starts again before the group is founded must still take part
/// in that, with the same seeds as the others, which otherwise wait for it for ever. The file also
/// distinguishes it from one whose disk was lost. It is not synced: if it is lost with the power, so
/// is whatever the process did.
pub(crate) fn keep_first_seeds(settings: &ForwardSettings, folder: &Path) {
    if !settings.first_start {
        return;
    }
    if let Err(error) = write_seeds(&settings.seeds, folder) {
        tracing::warn!(%error, "cannot keep the seeds of the first start in the data folder");
    }
}

/// The seeds that found the group together; none if the fleet was started before this data folder was
/// made.
pub(crate) fn first_seeds(settings: &ForwardSettings, folder: &Path) -> Vec<SocketAddr> {
    if settings.first_start {
        return settings.seeds.clone();
    }
    let text = fs::read_to_string(folder.join(MARK_FILE)).unwrap_or_default();
    text.lines().filter_map(|line| line.parse().ok()).collect()
}

fn write_seeds(seeds: &[SocketAddr], folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let lines: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let partial = folder.join(PARTIAL_FILE);
    fs::write(&partial, lines.join("\n"))?;
    fs::rename(partial, folder.join(MARK_FILE))
}
