//! Replays the records of a data folder, and checks that its files are consistent.

use std::io;

use snafu::{
    ResultExt,
    ensure, //
};

use crate::{
    DiskPort,
    LogError,
    MemberStart,
    StoredEntry,
    StoredSnapshot,
    folder_files::{
        FORMAT_VERSION,
        snapshot_name, //
    },
    log_error::{
        CorruptSnafu,
        DiskSnafu,
        RolledBackSnafu, //
    },
    log_record::{
        CountedVote,
        LogHeader,
        LogRecord, //
    },
    record_frame::RecordFrame,
    record_scan::RecordScan, //
};

/// Limit on the members whose start numbers are kept; many times the size of any group.
const MAX_STARTS: usize = 64;

/// Returns the entries that remain in the log after `frames`.
pub(crate) fn replay_entries(frames: &[RecordFrame]) -> Vec<StoredEntry> {
    let mut entries: Vec<StoredEntry> = Vec::new();
    for frame in frames {
        match &frame.record {
            LogRecord::Entry(entry) => entries.push(entry.clone()),
            LogRecord::Truncate(from) => entries.retain(|entry| entry.index < *from),
            _ => {}
        }
    }
    entries
}

/// Returns the start number of this member, or 0 if none was written.
pub(crate) fn replay_own_start(frames: &[RecordFrame], header: &LogHeader) -> u64 {
    let in_records = frames.iter().filter_map(|frame| match &frame.record {
        LogRecord::Start(start) => Some(start),
        _ => None,
    });
    let own = in_records
        .chain(&header.starts)
        .filter(|known| known.member == header.identity);
    own.map(|known| known.start).max().unwrap_or(0)
}

/// Returns the start numbers of the other members.
pub(crate) fn replay_starts(frames: &[RecordFrame], header: &LogHeader) -> Vec<MemberStart> {
    let mut starts = header.starts.clone();
    starts.retain(|known| known.member != header.identity);
    for frame in frames {
        if let LogRecord::Start(start) = frame.record
            && start.member != header.identity
        {
            upsert_start(&mut starts, start);
        }
    }
    starts
}

/// Inserts `start`, replacing an earlier start number of the same member.
pub(crate) fn upsert_start(starts: &mut Vec<MemberStart>, start: MemberStart) {
    starts.retain(|known| known.member != start.member);
    starts.push(start);
    if starts.len() > MAX_STARTS {
        starts.remove(0);
    }
}

pub(crate) fn last_vote(frames: &[RecordFrame], first: CountedVote) -> CountedVote {
    let mut votes = frames.iter().filter_map(|frame| match frame.record {
        LogRecord::Vote(vote) => Some(vote),
        _ => None,
    });
    votes.next_back().unwrap_or(first)
}

/// Compares the vote in the log with the vote file: see [`CountedVote`].
pub(crate) fn check_vote(vote: CountedVote, copy: CountedVote) -> Result<(), LogError> {
    let same = vote == copy;
    let ahead = vote.count == copy.count + 1 && vote.vote.term >= copy.vote.term;
    let detail = format!(
        "the vote has number {} in the log and {} in the vote file",
        vote.count, copy.count
    );
    ensure!(same || ahead, RolledBackSnafu { detail });
    Ok(())
}

pub(crate) fn check_header(
    scan: &RecordScan,
    name: &str,
    identity: u64,
    generation: u64,
) -> Result<LogHeader, LogError> {
    let first = scan.frames.first().map(|frame| &frame.record);
    let Some(LogRecord::Header(header)) = first else {
        return corrupt(name, 0, "the header cannot be read");
    };
    if header.version != FORMAT_VERSION {
        return corrupt(name, 0, "it has another file format version");
    }
    if header.identity != identity || header.generation != generation {
        return corrupt(name, 0, "it belongs to another data folder");
    }
    Ok(header.clone())
}

pub(crate) fn check_entries(
    entries: &[StoredEntry],
    header: &LogHeader,
    name: &str,
) -> Result<(), LogError> {
    let indexes = header.snapshot_index + 1..;
    let contiguous = indexes
        .zip(entries)
        .all(|(index, entry)| index == entry.index);
    if !contiguous {
        return corrupt(name, 0, "there is a gap between entries");
    }
    Ok(())
}

pub(crate) fn read_snapshot(
    port: &DiskPort,
    header: &LogHeader,
) -> Result<Option<StoredSnapshot>, LogError> {
    if header.snapshot_index == 0 {
        return Ok(None);
    }
    let name = snapshot_name(header.generation);
    match read_single(port, &name)? {
        LogRecord::Snapshot(identity, snapshot)
            if identity == header.identity && snapshot.index == header.snapshot_index =>
        {
            Ok(Some(snapshot))
        }
        _ => corrupt(&name, 0, "it belongs to another log"),
    }
}

/// Reads the record of a file that holds exactly one.
pub(crate) fn read_single(port: &DiskPort, name: &str) -> Result<LogRecord, LogError> {
    let bytes = read_file(port, name)?;
    match RecordFrame::read(&bytes) {
        Some((frame, length)) if length == bytes.len() => Ok(frame.record),
        _ => corrupt(name, 0, "its checksum does not match"),
    }
}

pub(crate) fn read_file(port: &DiskPort, name: &str) -> Result<Vec<u8>, LogError> {
    let outcome = port.read(name);
    if let Err(error) = &outcome
        && error.kind() == io::ErrorKind::NotFound
    {
        let detail = format!("'{name}' is missing");
        return RolledBackSnafu { detail }.fail();
    }
    let action = "read";
    outcome.context(DiskSnafu { action, name })
}

pub(crate) fn corrupt<T>(name: &str, offset: u64, detail: &str) -> Result<T, LogError> {
    CorruptSnafu {
        name,
        offset,
        detail,
    }
    .fail()
}
