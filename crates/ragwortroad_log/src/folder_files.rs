use snafu::ResultExt;

use crate::{
    DiskPort,
    LogError,
    log_error::{
        DiskSnafu,
        InvalidChangeSnafu, //
    },
    log_record::{
        CountedVote,
        LogRecord, //
    },
    record_frame::RecordFrame, //
};

/// Layout of the files this program writes and reads.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// Name of the file that holds the folder's identity.
pub(crate) const IDENTITY_NAME: &str = "identity";

/// Name of the file that holds a second copy of the vote.
pub(crate) const VOTE_NAME: &str = "vote";

/// Name of the file that says during which boot the folder was last confirmed.
pub(crate) const BOOT_NAME: &str = "boot";

/// Ending of files that are not complete yet.
pub(crate) const TEMP_ENDING: &str = ".tmp";

/// Start of the names of log files.
pub(crate) const LOG_PREFIX: &str = "log-";

/// Start of the names of snapshot files.
pub(crate) const SNAPSHOT_PREFIX: &str = "snapshot-";

/// The log file of one generation.
pub(crate) fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation:016x}")
}

/// The snapshot file of one generation.
pub(crate) fn snapshot_name(generation: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{generation:016x}")
}

/// The generation in a file's name, if it starts with `start`.
pub(crate) fn generation_of(name: &str, start: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(start)?, 16).ok()
}

/// Writes `bytes` as the file `name`, durably, so that a crash leaves the old file or the new one.
pub(crate) fn write_atomically(
    port: &mut DiskPort,
    name: &str,
    bytes: &[u8],
) -> Result<(), LogError> {
    let temp = format!("{name}{TEMP_ENDING}");
    let action = "write";
    port.create(&temp).context(DiskSnafu { action, name })?;
    port.append(&temp, bytes)
        .context(DiskSnafu { action, name })?;
    let action = "sync";
    port.sync(&temp).context(DiskSnafu { action, name })?;
    let action = "rename";
    port.rename(&temp, name)
        .context(DiskSnafu { action, name })?;
    let action = "sync the folder of";
    port.sync_folder().context(DiskSnafu { action, name })
}

/// Adds `frame` to `buffer`.
pub(crate) fn write_frame(frame: &RecordFrame, buffer: &mut Vec<u8>) -> Result<(), LogError> {
    frame.write(buffer).or_else(|error| {
        let detail = error.to_string();
        InvalidChangeSnafu { detail }.fail()
    })
}

/// Writes the vote file.
pub(crate) fn write_vote(port: &mut DiskPort, vote: CountedVote) -> Result<(), LogError> {
    let frame = RecordFrame {
        sequence: vote.count,
        synced: 0,
        record: LogRecord::Vote(vote),
    };
    let mut bytes = Vec::new();
    write_frame(&frame, &mut bytes)?;
    write_atomically(port, VOTE_NAME, &bytes)
}
