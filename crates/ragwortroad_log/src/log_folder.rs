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
        write_atomically, //
        write_frame,
        write_vote,
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
    pub(crate) boot_id: String,
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
        let before = self.vote.vote;
        let detail = "the vote goes back";
        ensure!(vote.term >= before.term, InvalidChangeSnafu { detail });
        let detail = "the vote of a term changes";
        let changes = vote.term == before.term && vote.voted_for != before.voted_for;
        ensure!(
            !changes || before.voted_for.is_none(),
            InvalidChangeSnafu { detail }
        );
        self.vote = CountedVote {
            count: self.vote_file_count + 1,
            vote,
        };
        self.append_record(LogRecord::Vote(self.vote))
    }

    fn append_truncate(&mut self, from: u64) -> Result<(), LogError> {
        let detail = format!("cannot drop entry {from}, which is in the snapshot");
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
        let detail = format!("entry {} comes where {expected} belongs", entry.index);
        ensure!(entry.index == expected, InvalidChangeSnafu { detail });
        self.last_index = entry.index;
        self.append_record(LogRecord::Entry(entry.clone()))
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

    /// Brings the vote file up to the log, once the log's own copy is durable.
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
