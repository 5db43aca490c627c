use snafu::{
    ResultExt,
    ensure, //
};

use crate::{
    DiskPort,
    LogChange,
    LogError,
    MemberStart,
    StoredEntry,
    VoteRecord,
    folder_files::{
        BOOT_NAME,
        log_name,
        write_atomically,
        write_frame,
        write_vote, //
    },
    folder_replay,
    log_error::{
        DiskSnafu,
        InvalidChangeSnafu,
        TooLargeSnafu,
        WritesRefusedSnafu, //
    },
    log_record::{
        CountedVote,
        LogRecord, //
    },
    record_frame::RecordFrame, //
};

/// A data folder, open for writing.
#[derive(Debug)]
pub struct LogFolder {
    pub(crate) port: DiskPort,
    pub(crate) identity: u64,
    pub(crate) max_entry_bytes: usize,
    /// Invariant: the log file and the snapshot file of this generation are complete.
    pub(crate) generation: u64,
    /// Sequence number of the next record.
    pub(crate) next_sequence: u64,
    /// Records below this sequence number are durable.
    pub(crate) synced_sequence: u64,
    /// Encoded records that are not written yet.
    pub(crate) buffer: Vec<u8>,
    pub(crate) vote: CountedVote,
    /// Invariant: the count in the vote file; `vote.count` equals it, or is one more while a vote
    /// is not synced.
    pub(crate) vote_file_count: u64,
    /// Start number of this member.
    pub(crate) start: u64,
    /// Start numbers of other members.
    pub(crate) starts: Vec<MemberStart>,
    /// ID of the current boot, empty if unknown.
    pub(crate) boot_id: String,
    /// Whether to record the boot ID once all earlier changes are durable.
    pub(crate) confirms_boot: bool,
    /// Index of the last entry, or of the snapshot if there is no later entry.
    pub(crate) last_index: u64,
    pub(crate) snapshot_index: u64,
    /// Whether a write or sync failed.
    ///
    /// After a failed sync the operating system may count the pages as clean although they never
    /// reached the disk. A later sync would then report success for lost data, and an
    /// acknowledgement based on it would be false. Nothing is written until the folder has been
    /// reopened and read back.
    pub(crate) writes_refused: bool,
}

impl LogFolder {
    /// The random identity of the folder, which is also the member's.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Whether the folder refuses writes because an earlier one failed.
    pub fn writes_refused(&self) -> bool {
        self.writes_refused
    }

    /// Buffers `change`, which becomes durable only when [`sync`](Self::sync) returns.
    ///
    /// A change with a snapshot is durable when this method returns, and so are all changes before
    /// it.
    ///
    /// # Errors
    ///
    /// Fails if the change is not valid, a file operation fails, or an earlier write failed.
    pub fn append(&mut self, change: &LogChange) -> Result<(), LogError> {
        ensure!(!self.writes_refused, WritesRefusedSnafu);
        let outcome = self.append_parts(change);
        self.writes_refused |= outcome.is_err();
        outcome
    }

    /// Makes all buffered changes durable with one sync.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails or an earlier write failed; what reached the disk is then
    /// unknown.
    pub fn sync(&mut self) -> Result<(), LogError> {
        ensure!(!self.writes_refused, WritesRefusedSnafu);
        let outcome = self
            .write_buffer()
            .and_then(|()| self.write_confirmed_boot());
        self.writes_refused |= outcome.is_err();
        outcome
    }

    fn append_parts(&mut self, change: &LogChange) -> Result<(), LogError> {
        if let Some(vote) = change.vote {
            self.append_vote(vote)?;
        }
        if let Some(start) = change.start {
            let detail = "the start number does not increase";
            ensure!(start > self.start, InvalidChangeSnafu { detail });
            self.start = start;
            self.append_record(self.own_start())?;
        }
        for &start in &change.starts {
            folder_replay::upsert_start(&mut self.starts, start);
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
        let previous = self.vote.vote;
        let detail = "the term of the vote decreases";
        ensure!(vote.term >= previous.term, InvalidChangeSnafu { detail });
        let detail = "the vote of a term changes";
        let changes = vote.term == previous.term && vote.voted_for != previous.voted_for;
        ensure!(
            !changes || previous.voted_for.is_none(),
            InvalidChangeSnafu { detail }
        );
        self.vote = CountedVote {
            count: self.vote_file_count + 1,
            vote,
        };
        self.append_record(LogRecord::Vote(self.vote))
    }

    fn append_truncate(&mut self, from: u64) -> Result<(), LogError> {
        let detail = format!("cannot truncate entry {from}, which the snapshot covers");
        ensure!(from > self.snapshot_index, InvalidChangeSnafu { detail });
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
        let detail = format!(
            "entry {} was appended where entry {expected} is expected",
            entry.index
        );
        ensure!(entry.index == expected, InvalidChangeSnafu { detail });
        self.last_index = entry.index;
        self.append_record(LogRecord::Entry(entry.clone()))
    }

    /// The record of this member's start number.
    pub(crate) fn own_start(&self) -> LogRecord {
        LogRecord::Start(MemberStart {
            member: self.identity,
            start: self.start,
        })
    }

    pub(crate) fn append_record(&mut self, record: LogRecord) -> Result<(), LogError> {
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

    /// Updates the vote file after the vote in the log has become durable.
    pub(crate) fn write_vote_copy(&mut self) -> Result<(), LogError> {
        if self.vote.count != self.vote_file_count {
            write_vote(&mut self.port, self.vote)?;
            self.vote_file_count = self.vote.count;
        }
        Ok(())
    }

    fn write_confirmed_boot(&mut self) -> Result<(), LogError> {
        if std::mem::take(&mut self.confirms_boot) {
            write_atomically(&mut self.port, BOOT_NAME, self.boot_id.as_bytes())?;
        }
        Ok(())
    }
}
