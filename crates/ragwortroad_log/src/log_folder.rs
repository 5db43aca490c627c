use snafu::{
    ResultExt,
    ensure, //
};

use crate::{
    DiskPort,
    FolderSettings,
    LogChange,
    LogError,
    MemberStart,
    RealDisk,
    StoredEntry,
    StoredSnapshot,
    StoredState,
    VoteRecord,
    folder_files::{
        BOOT_NAME,
        log_name,
        snapshot_name,
        write_frame,
        write_vote,
        write_whole, //
    },
    folder_open,
    log_error::{
        DiskSnafu,
        InUseSnafu,
        MisfitSnafu,
        TooLargeSnafu,
        WritesRefusedSnafu, //
    },
    log_record::{
        CountedVote,
        LogHeader,
        LogRecord, //
    },
    record_frame::RecordFrame,
    record_scan::RecordScan, //
};

/// One data folder, open for writing.
#[derive(Debug)]
pub struct LogFolder {
    pub(crate) port: DiskPort,
    pub(crate) identity: u64,
    pub(crate) max_entry_bytes: usize,
    /// Invariant: the log file and the snapshot file of this generation are whole.
    pub(crate) generation: u64,
    /// Sequence of the next record.
    pub(crate) next_sequence: u64,
    /// Records below this sequence are durable.
    pub(crate) synced_sequence: u64,
    /// Records that are not written yet.
    pub(crate) buffer: Vec<u8>,
    pub(crate) vote: CountedVote,
    /// Invariant: the vote file's count; `vote.count` is this, or one more with a vote unsynced.
    pub(crate) vote_file_count: u64,
    pub(crate) starts: Vec<MemberStart>,
    /// The current boot of the machine, empty if unknown.
    pub(crate) boot: String,
    /// The boot is to be written down once what came before is durable.
    pub(crate) confirms_boot: bool,
    /// Index of the last entry, or of the snapshot.
    pub(crate) last_index: u64,
    pub(crate) snapshot_index: u64,
    /// A write or sync failed.
    ///
    /// After a failed sync the operating system may count the pages as clean although they never
    /// reached the disk; a later sync would then report success for bytes that are lost, and an
    /// acknowledgement would be a lie. So nothing is written until the folder is opened anew and
    /// read back.
    pub(crate) writes_refused: bool,
}

impl LogFolder {
    /// Opens the folder named in `settings`, or creates it.
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
    pub fn open_on(
        port: DiskPort,
        settings: &FolderSettings,
    ) -> Result<(Self, StoredState), LogError> {
        folder_open::open(port, settings)
    }

    /// The folder's identity.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Whether an earlier failure closed the folder for writing.
    pub fn writes_refused(&self) -> bool {
        self.writes_refused
    }

    /// Collects `change`; it is durable only once [`sync`](Self::sync) has returned.
    ///
    /// A change with a snapshot is durable when this returns, and so is all collected before it.
    pub fn append(&mut self, change: &LogChange) -> Result<(), LogError> {
        ensure!(!self.writes_refused, WritesRefusedSnafu);
        let outcome = self.append_parts(change);
        self.writes_refused |= outcome.is_err();
        outcome
    }

    /// Makes everything collected durable, with one sync for all of it.
    pub fn sync(&mut self) -> Result<(), LogError> {
        ensure!(!self.writes_refused, WritesRefusedSnafu);
        let outcome = self.write_buffer().and_then(|()| self.write_boot());
        self.writes_refused |= outcome.is_err();
        outcome
    }

    fn append_parts(&mut self, change: &LogChange) -> Result<(), LogError> {
        if let Some(vote) = change.vote {
            self.append_vote(vote)?;
        }
        for &start in &change.starts {
            folder_open::keep_start(&mut self.starts, start);
            self.append_record(LogRecord::Start(start))?;
        }
        if let Some(from) = change.truncate_from {
            self.append_truncate(from)?;
        }
        for entry in &change.entries {
            self.append_entry(entry)?;
        }
        if let Some(snapshot) = &change.snapshot {
            self.write_buffer()?;
            self.start_generation(snapshot)?;
        }
        self.confirms_boot |= change.confirms_boot;
        Ok(())
    }

    fn append_vote(&mut self, vote: VoteRecord) -> Result<(), LogError> {
        let before = self.vote.vote;
        let detail = "the vote goes back";
        ensure!(vote.term >= before.term, MisfitSnafu { detail });
        let detail = "the vote of a term changes";
        let changes = vote.term == before.term && vote.voted_for != before.voted_for;
        ensure!(
            !changes || before.voted_for.is_none(),
            MisfitSnafu { detail }
        );
        self.vote = CountedVote {
            count: self.vote_file_count + 1,
            vote,
        };
        self.append_record(LogRecord::Vote(self.vote))
    }

    fn append_truncate(&mut self, from: u64) -> Result<(), LogError> {
        let detail = format!("cannot drop entry {from}, which is in the snapshot");
        ensure!(from > self.snapshot_index, MisfitSnafu { detail });
        if from > self.last_index {
            return Ok(());
        }
        self.last_index = from - 1;
        self.append_record(LogRecord::Truncate(from))
    }

    fn append_entry(&mut self, entry: &StoredEntry) -> Result<(), LogError> {
        let bytes = entry.bytes.len();
        let limit = self.max_entry_bytes;
        ensure!(bytes <= limit, TooLargeSnafu { bytes, limit });
        let expected = self.last_index + 1;
        let detail = format!("entry {} comes where {expected} belongs", entry.index);
        ensure!(entry.index == expected, MisfitSnafu { detail });
        self.last_index = entry.index;
        self.append_record(LogRecord::Entry(entry.clone()))
    }

    fn append_record(&mut self, record: LogRecord) -> Result<(), LogError> {
        let frame = RecordFrame {
            sequence: self.next_sequence,
            synced: self.synced_sequence,
            record,
        };
        self.next_sequence += 1;
        write_frame(&frame, &mut self.buffer)
    }

    fn write_buffer(&mut self) -> Result<(), LogError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let name = log_name(self.generation);
        let action = "write";
        self.port.append(&name, &self.buffer).context(DiskSnafu {
            action,
            name: &name,
        })?;
        let action = "sync";
        self.port.sync(&name).context(DiskSnafu {
            action,
            name: &name,
        })?;
        self.buffer.clear();
        self.synced_sequence = self.next_sequence;
        self.write_vote_copy()
    }

    /// Brings the vote file up to the log, once the log's own copy is durable.
    pub(crate) fn write_vote_copy(&mut self) -> Result<(), LogError> {
        if self.vote.count != self.vote_file_count {
            write_vote(&mut self.port, self.vote)?;
            self.vote_file_count = self.vote.count;
        }
        Ok(())
    }

    fn write_boot(&mut self) -> Result<(), LogError> {
        if std::mem::take(&mut self.confirms_boot) {
            write_whole(&mut self.port, BOOT_NAME, self.boot.as_bytes())?;
        }
        Ok(())
    }

    /// Starts a new log file after `snapshot` with the entries that are still needed.
    fn start_generation(&mut self, snapshot: &StoredSnapshot) -> Result<(), LogError> {
        let detail = "an older snapshot cannot replace a newer one";
        ensure!(snapshot.index > self.snapshot_index, MisfitSnafu { detail });
        let kept = self.entries_after(snapshot)?;
        let old = self.generation;
        self.generation += 1;
        self.write_snapshot(snapshot)?;
        self.snapshot_index = snapshot.index;
        self.last_index = snapshot.index + kept.len() as u64;
        self.write_log(&kept)?;
        self.remove_generation(old)
    }

    /// The entries of the current file that stay when `snapshot` replaces those up to its index.
    fn entries_after(&self, snapshot: &StoredSnapshot) -> Result<Vec<StoredEntry>, LogError> {
        let name = log_name(self.generation);
        let action = "read";
        let bytes = self.port.read(&name).context(DiskSnafu {
            action,
            name: &name,
        })?;
        let scan = RecordScan::read(&name, &bytes)?;
        let entries = folder_open::replay_entries(&scan.frames);
        let same = entries
            .iter()
            .any(|entry| entry.index == snapshot.index && entry.term == snapshot.term);
        let mut kept = entries;
        kept.retain(|entry| same && entry.index > snapshot.index);
        Ok(kept)
    }

    fn write_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), LogError> {
        let frame = RecordFrame {
            sequence: 0,
            synced: 0,
            record: LogRecord::Snapshot(self.identity, snapshot.clone()),
        };
        let mut bytes = Vec::new();
        write_frame(&frame, &mut bytes)?;
        write_whole(&mut self.port, &snapshot_name(self.generation), &bytes)
    }

    /// Writes the log file of the current generation with a header and `entries`.
    pub(crate) fn write_log(&mut self, entries: &[StoredEntry]) -> Result<(), LogError> {
        let header = LogHeader {
            version: folder_open::VERSION,
            identity: self.identity,
            generation: self.generation,
            vote: self.vote,
            starts: self.starts.clone(),
            snapshot_index: self.snapshot_index,
        };
        self.append_record(LogRecord::Header(header))?;
        for entry in entries {
            self.append_record(LogRecord::Entry(entry.clone()))?;
        }
        self.synced_sequence = self.next_sequence;
        self.append_record(LogRecord::Durable)?;
        let bytes = std::mem::take(&mut self.buffer);
        write_whole(&mut self.port, &log_name(self.generation), &bytes)?;
        self.synced_sequence = self.next_sequence;
        Ok(())
    }

    fn remove_generation(&mut self, generation: u64) -> Result<(), LogError> {
        let action = "remove";
        for name in [log_name(generation), snapshot_name(generation)] {
            let outcome = self.port.remove(&name);
            if outcome
                .as_ref()
                .is_err_and(|error| error.kind() == std::io::ErrorKind::NotFound)
            {
                continue;
            }
            outcome.context(DiskSnafu { action, name })?;
        }
        Ok(())
    }
}
