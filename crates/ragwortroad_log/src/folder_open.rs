//! Reads a data folder back, and decides whether it can be trusted.

use snafu::{
    OptionExt,
    ResultExt,
    ensure, //
};

use crate::{
    DiskPort,
    FolderSettings,
    LogError,
    LogFolder,
    MemberStart,
    RealDisk,
    StoredState,
    folder_files::{
        BOOT_NAME,
        FORMAT_VERSION,
        IDENTITY_NAME,
        LOG_PREFIX,
        SNAPSHOT_PREFIX,
        TEMP_ENDING,
        VOTE_NAME,
        generation_of,
        log_name,
        write_atomically,
        write_frame,
        write_vote, //
    },
    folder_replay::{
        check_entries,
        check_header,
        check_vote,
        corrupt,
        last_vote,
        read_file,
        read_single,
        read_snapshot,
        replay_entries,
        replay_own_start,
        replay_starts, //
    },
    log_error::{
        DiskSnafu,
        InUseSnafu,
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

impl LogFolder {
    /// Opens the folder named in `settings`, or creates it.
    ///
    /// # Errors
    ///
    /// Fails if another process has the folder open, a file operation fails, or the content is
    /// damaged or was rolled back.
    pub fn open(settings: &FolderSettings) -> Result<(Self, StoredState), LogError> {
        let name = settings.path.display().to_string();
        let action = "open";
        let opened = RealDisk::open(settings.path.clone(), settings.quota_bytes);
        let disk = opened.context(DiskSnafu { action, name })?;
        match disk {
            Some(disk) => Self::open_on(DiskPort::Real(disk), settings),
            None => InUseSnafu.fail(),
        }
    }

    /// Opens the folder behind `port`, or creates its content.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails, or if the content is damaged or was rolled back.
    pub fn open_on(
        port: DiskPort,
        settings: &FolderSettings,
    ) -> Result<(Self, StoredState), LogError> {
        open_content(port, settings)
    }
}

fn open_content(
    mut port: DiskPort,
    settings: &FolderSettings,
) -> Result<(LogFolder, StoredState), LogError> {
    let names = list_files(&mut port)?;
    if names.iter().any(|name| name == IDENTITY_NAME) {
        return open_existing(port, settings, &names);
    }
    ensure_unused(&port, &names)?;
    create(port, settings)
}

/// Returns the names of all complete files, after removing those that a crash left incomplete.
fn list_files(port: &mut DiskPort) -> Result<Vec<String>, LogError> {
    let name = "the folder";
    let action = "list";
    let mut names = port.list().context(DiskSnafu { action, name })?;
    for name in names.extract_if(.., |name| name.ends_with(TEMP_ENDING)) {
        let action = "remove";
        port.remove(&name).context(DiskSnafu { action, name })?;
    }
    names.sort();
    Ok(names)
}

/// Refuses a folder that has no identity file but has been in use. Without that file, a folder must
/// be empty or left over from an interrupted creation.
///
/// If the identity file of a folder in use were lost and the folder taken for empty, the member
/// would forget its vote and vote again.
fn ensure_unused(port: &DiskPort, names: &[String]) -> Result<(), LogError> {
    let used = names.iter().any(|name| {
        let is_snapshot = name.starts_with(SNAPSHOT_PREFIX);
        let is_log = name.starts_with(LOG_PREFIX);
        is_snapshot || is_log && !is_unused_log(port, name)
    });
    let detail = "the identity file is missing although there is a log";
    ensure!(!used, RolledBackSnafu { detail });
    Ok(())
}

fn is_unused_log(port: &DiskPort, name: &str) -> bool {
    let bytes = port.read(name).unwrap_or_default();
    let Ok(scan) = RecordScan::read(name, &bytes) else {
        return false;
    };
    let is_whole = scan.intact_bytes == bytes.len();
    let identity = scan.frames.iter().find_map(|frame| match &frame.record {
        LogRecord::Header(header) => Some(header.identity),
        _ => None,
    });
    let is_unused = scan.frames.iter().all(|frame| match &frame.record {
        LogRecord::Header(header) => header.generation == 0 && header.vote.count == 0,
        LogRecord::Start(start) => Some(start.member) == identity,
        record => *record == LogRecord::Durable,
    });
    is_whole && is_unused && !bytes.is_empty()
}

/// Creates the content of a folder. The identity is written last, so that a folder with an identity
/// has all other files.
fn create(
    mut port: DiskPort,
    settings: &FolderSettings,
) -> Result<(LogFolder, StoredState), LogError> {
    write_vote(&mut port, CountedVote::default())?;
    let identity = settings.fresh_identity;
    let mut folder = LogFolder {
        port,
        identity,
        max_entry_bytes: settings.max_entry_bytes,
        generation: 0,
        next_sequence: 0,
        synced_sequence: 0,
        buffer: Vec::new(),
        vote: CountedVote::default(),
        vote_file_count: 0,
        start: settings.min_start,
        starts: Vec::new(),
        boot_id: settings.boot_id.clone(),
        confirms_boot: false,
        last_index: 0,
        snapshot_index: 0,
        writes_refused: false,
    };
    folder.write_log(&[])?;
    let frame = identity_frame(identity);
    let mut bytes = Vec::new();
    write_frame(&frame, &mut bytes)?;
    write_atomically(&mut folder.port, IDENTITY_NAME, &bytes)?;
    let state = StoredState {
        identity,
        is_new: true,
        start: settings.min_start,
        ..StoredState::default()
    };
    Ok((folder, state))
}

fn identity_frame(identity: u64) -> RecordFrame {
    let header = LogHeader {
        version: FORMAT_VERSION,
        identity,
        generation: 0,
        vote: CountedVote::default(),
        starts: Vec::new(),
        snapshot_index: 0,
    };
    RecordFrame {
        sequence: 0,
        synced: 0,
        record: LogRecord::Header(header),
    }
}

fn open_existing(
    mut port: DiskPort,
    settings: &FolderSettings,
    names: &[String],
) -> Result<(LogFolder, StoredState), LogError> {
    let identity = match read_single(&port, IDENTITY_NAME)? {
        LogRecord::Header(header) => header.identity,
        _ => return corrupt(IDENTITY_NAME, 0, "it holds a record of another type"),
    };
    let vote_copy = match read_single(&port, VOTE_NAME)? {
        LogRecord::Vote(vote) => vote,
        _ => return corrupt(VOTE_NAME, 0, "it holds a record of another type"),
    };
    let generations = names
        .iter()
        .filter_map(|name| generation_of(name, LOG_PREFIX));
    let detail = "the log file is missing";
    let generation = generations.max().context(RolledBackSnafu { detail })?;

    let name = log_name(generation);
    let bytes = read_file(&port, &name)?;
    let scan = RecordScan::read(&name, &bytes)?;
    let header = check_header(&scan, &name, identity, generation)?;
    let vote = last_vote(&scan.frames, header.vote);
    check_vote(vote, vote_copy)?;
    let snapshot = read_snapshot(&port, &header)?;
    let starts = replay_starts(&scan.frames, &header);
    let stored_start = replay_own_start(&scan.frames, &header);
    let start = settings.min_start.max(stored_start.saturating_add(1));
    let confirmed_boot_id = port.read(BOOT_NAME).unwrap_or_default();
    let entries = replay_entries(&scan.frames);
    check_entries(&entries, &header, &name)?;

    let truncated_bytes = (bytes.len() - scan.intact_bytes) as u64;
    let own_start = MemberStart {
        member: identity,
        start,
    };
    let next_sequence = rewrite_log(&mut port, &name, &bytes, &scan, own_start)?;
    remove_stale_generations(&mut port, names, generation)?;
    let mut folder = LogFolder {
        port,
        identity,
        max_entry_bytes: settings.max_entry_bytes,
        generation,
        next_sequence,
        synced_sequence: next_sequence,
        buffer: Vec::new(),
        vote,
        vote_file_count: vote_copy.count,
        start,
        starts: starts.clone(),
        boot_id: settings.boot_id.clone(),
        confirms_boot: false,
        last_index: header.snapshot_index + entries.len() as u64,
        snapshot_index: header.snapshot_index,
        writes_refused: false,
    };
    folder.write_vote_copy()?;
    let state = StoredState {
        identity,
        is_new: false,
        is_same_boot: confirmed_boot_id == settings.boot_id.as_bytes()
            && !settings.boot_id.is_empty(),
        start,
        starts,
        vote: vote.vote,
        snapshot,
        entries,
        truncated_bytes,
    };
    Ok((folder, state))
}

/// Rewrites the log file with its intact records and this member's start number, so that all of them
/// are durable, and returns the sequence number of the next record.
///
/// A sync may have failed in an earlier process, after which the operating system may count the
/// pages as clean: they can be read, another sync reports success, and a crash loses them. Copied
/// bytes are dirty again, so their sync is reliable. Rewriting also cuts off an incomplete write.
fn rewrite_log(
    port: &mut DiskPort,
    name: &str,
    bytes: &[u8],
    scan: &RecordScan,
    own_start: MemberStart,
) -> Result<u64, LogError> {
    let mut sequence = scan.frames.last().map_or(0, |last| last.sequence + 1);
    let mut intact = bytes[..scan.intact_bytes].to_vec();
    let start_frame = RecordFrame {
        sequence,
        synced: sequence,
        record: LogRecord::Start(own_start),
    };
    write_frame(&start_frame, &mut intact)?;
    sequence += 1;
    let durable_mark = RecordFrame {
        sequence,
        synced: sequence,
        record: LogRecord::Durable,
    };
    write_frame(&durable_mark, &mut intact)?;
    write_atomically(port, name, &intact)?;
    Ok(sequence + 1)
}

fn remove_stale_generations(
    port: &mut DiskPort,
    names: &[String],
    generation: u64,
) -> Result<(), LogError> {
    for name in names {
        let of_log = generation_of(name, LOG_PREFIX);
        let of_snapshot = generation_of(name, SNAPSHOT_PREFIX);
        if of_log.or(of_snapshot).is_some_and(|of| of != generation) {
            let action = "remove";
            port.remove(name).context(DiskSnafu { action, name })?;
        }
    }
    let action = "sync";
    let name = "the folder";
    port.sync_folder().context(DiskSnafu { action, name })
}
