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

/// Version of the file format that this program writes and reads.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// File that holds the folder's identity.
pub(crate) const IDENTITY_NAME: &str = "identity";

/// File that holds a second copy of the vote.
pub(crate) const VOTE_NAME: &str = "vote";

/// File that holds the ID of the boot during which the folder was last confirmed.
pub(crate) const BOOT_NAME: &str = "boot";

/// Suffix of files that are not complete yet.
pub(crate) const TEMP_ENDING: &str = ".tmp";

/// Prefix of log file names.
pub(crate) const LOG_PREFIX: &str = "log-";

/// Prefix of snapshot file names.
pub(crate) const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Name of the log file of a generation.
pub(crate) fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation:016x}")
}

/// Name of the snapshot file of a generation.
pub(crate) fn snapshot_name(generation: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{generation:016x}")
}

/// Returns the generation in a file name that begins with the prefix `start`.
pub(crate) fn generation_of(name: &str, start: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(start)?, 16).ok()
}

/// Writes the file `name` atomically and durably: after a crash it has either its old content or
/// `bytes`.
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

/// Appends the encoded `frame` to `buffer`.
pub(crate) fn write_frame(frame: &RecordFrame, buffer: &mut Vec<u8>) -> Result<(), LogError> {
    frame.write(buffer).or_else(|error| {
        let detail = error.to_string();
        InvalidChangeSnafu { detail }.fail()
    })
}

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
