//! Snapshots: each one starts a new log file and replaces the previous generation.

use snafu::{
    ResultExt,
    ensure, //
};

use crate::{
    LogError,
    LogFolder,
    StoredEntry,
    StoredSnapshot,
    folder_files::{
        FORMAT_VERSION,
        log_name,
        snapshot_name,
        write_atomically,
        write_frame, //
    },
    folder_replay,
    log_error::{
        DiskSnafu,
        InvalidChangeSnafu, //
    },
    log_record::{
        LogHeader,
        LogRecord, //
    },
    record_frame::RecordFrame,
    record_scan::RecordScan, //
};

impl LogFolder {
    /// Starts a new log file after `snapshot` with the entries that are still needed.
    pub(crate) fn start_generation(&mut self, snapshot: &StoredSnapshot) -> Result<(), LogError> {
        let detail = "an older snapshot cannot replace a newer one";
        ensure!(
            snapshot.index > self.snapshot_index,
            InvalidChangeSnafu { detail }
        );
        let kept = self.entries_after(snapshot)?;
        let old = self.generation;
        self.generation += 1;
        self.write_snapshot(snapshot)?;
        self.snapshot_index = snapshot.index;
        self.last_index = snapshot.index + kept.len() as u64;
        self.write_log(&kept)?;
        self.remove_generation(old)
    }

    /// Returns the entries of the current log file that remain when `snapshot` replaces those up to
    /// its index.
    fn entries_after(&self, snapshot: &StoredSnapshot) -> Result<Vec<StoredEntry>, LogError> {
        let name = log_name(self.generation);
        let action = "read";
        let bytes = self.port.read(&name).context(DiskSnafu {
            action,
            name: &name,
        })?;
        let scan = RecordScan::read(&name, &bytes)?;
        let entries = folder_replay::replay_entries(&scan.frames);
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
        write_atomically(&mut self.port, &snapshot_name(self.generation), &bytes)
    }

    /// Writes the log file of the current generation with a header and `entries`.
    pub(crate) fn write_log(&mut self, entries: &[StoredEntry]) -> Result<(), LogError> {
        let header = LogHeader {
            version: FORMAT_VERSION,
            identity: self.identity,
            generation: self.generation,
            vote: self.vote,
            starts: self.starts.clone(),
            snapshot_index: self.snapshot_index,
        };
        self.append_record(LogRecord::Header(header))?;
        self.append_record(self.own_start())?;
        for entry in entries {
            self.append_record(LogRecord::Entry(entry.clone()))?;
        }
        self.synced_sequence = self.next_sequence;
        self.append_record(LogRecord::Durable)?;
        let bytes = std::mem::take(&mut self.buffer);
        write_atomically(&mut self.port, &log_name(self.generation), &bytes)?;
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
