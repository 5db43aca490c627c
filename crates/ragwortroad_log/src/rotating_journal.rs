use snafu::ResultExt;

use crate::{
    DiskPort,
    LogError,
    folder_files::generation_of,
    log_error::DiskSnafu, //
};

/// Prefix of journal file names.
const JOURNAL_PREFIX: &str = "journal-";

/// Number of files that are kept, including the one that is being written.
const MAX_FILES: usize = 3;

/// Size of the length and the checksum before each record.
const PREFIX_BYTES: usize = 8;

/// Records that are useful for a short time, appended to files of which the oldest are removed.
///
/// It has a folder of its own. A record survives the death of the process as soon as
/// [`append`](Self::append) returns, and a loss of power once [`sync`](Self::sync) has. A damaged
/// record hides those behind it in its file, but none in other files.
#[derive(Debug)]
pub struct RotatingJournal {
    port: DiskPort,
    /// Generations of the existing files, ascending.
    generations: Vec<u64>,
    /// Size of the file that is being written; `None` if the next record begins a file.
    bytes: Option<usize>,
    /// Size at which the next record begins a new file, in bytes.
    max_file_bytes: usize,
    next_generation: u64,
    is_synced: bool,
    /// Whether the name of the file that is being written is durable.
    is_name_synced: bool,
}

impl RotatingJournal {
    /// Opens the folder behind `port`, which must hold no other data, and returns the intact records
    /// in it, the oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be listed, or a file cannot be read or removed.
    pub fn open(port: DiskPort, max_file_bytes: usize) -> Result<(Self, Vec<Vec<u8>>), LogError> {
        let (action, name) = ("list", JOURNAL_PREFIX);
        let names = port.list().context(DiskSnafu { action, name })?;
        let names = names.iter();
        let generations = names.filter_map(|name| generation_of(name, JOURNAL_PREFIX));
        let mut generations: Vec<u64> = generations.collect();
        generations.sort_unstable();
        let mut records = Vec::new();
        for generation in &generations {
            let (action, name) = ("read", file_name(*generation));
            let bytes = port.read(&name).context(DiskSnafu { action, name })?;
            read_records(&bytes, &mut records);
        }
        let mut journal = Self {
            port,
            next_generation: generations.last().map_or(0, |last| last + 1),
            generations,
            bytes: None,
            max_file_bytes,
            is_synced: true,
            is_name_synced: true,
        };
        journal.remove_oldest(MAX_FILES)?;
        Ok((journal, records))
    }

    /// Appends a record without waiting for the disk.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails. The next record then begins a new file.
    pub fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        if self.bytes.is_none_or(|bytes| bytes >= self.max_file_bytes) {
            self.begin_file()?;
        }
        let bytes = self.bytes.take().unwrap_or(0);
        let mut frame = Vec::with_capacity(PREFIX_BYTES + record.len());
        let length = (record.len() as u32).to_le_bytes();
        frame.extend_from_slice(&length);
        frame.extend_from_slice(&checksum_of(length, record).to_le_bytes());
        frame.extend_from_slice(record);
        let (action, name) = ("append to", file_name(self.next_generation - 1));
        let appended = self.port.append(&name, &frame);
        appended.context(DiskSnafu { action, name })?;
        self.bytes = Some(bytes + frame.len());
        self.is_synced = false;
        Ok(())
    }

    /// Makes all records durable.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be synced. The next record then begins a new file.
    pub fn sync(&mut self) -> Result<(), LogError> {
        if self.is_synced {
            return Ok(());
        }
        self.is_synced = true;
        let bytes = self.bytes.take();
        let (action, name) = ("sync", file_name(self.next_generation - 1));
        let synced = self.port.sync(&name);
        synced.context(DiskSnafu { action, name })?;
        if !self.is_name_synced {
            let (action, name) = ("sync the folder of", JOURNAL_PREFIX);
            let synced = self.port.sync_folder();
            synced.context(DiskSnafu { action, name })?;
            self.is_name_synced = true;
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Whether all records are durable.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Has the next record begin a new file.
    pub fn rotate(&mut self) {
        self.bytes = None;
    }

    /// Removes all records.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be removed.
    pub fn clear(&mut self) -> Result<(), LogError> {
        self.rotate();
        self.is_synced = true;
        self.remove_oldest(0)
    }

    fn begin_file(&mut self) -> Result<(), LogError> {
        self.sync()?;
        self.remove_oldest(MAX_FILES - 1)?;
        let generation = self.next_generation;
        self.next_generation += 1;
        let (action, name) = ("create", file_name(generation));
        let created = self.port.create(&name);
        created.context(DiskSnafu { action, name })?;
        self.generations.push(generation);
        self.is_name_synced = false;
        self.bytes = Some(0);
        Ok(())
    }

    /// Removes the oldest files until at most `count` are left.
    fn remove_oldest(&mut self, count: usize) -> Result<(), LogError> {
        while self.generations.len() > count {
            let (action, name) = ("remove", file_name(self.generations[0]));
            let removed = self.port.remove(&name);
            removed.context(DiskSnafu { action, name })?;
            self.generations.remove(0);
        }
        Ok(())
    }
}

fn file_name(generation: u64) -> String {
    format!("{JOURNAL_PREFIX}{generation:016x}")
}

/// Adds the records at the start of `bytes` up to the first that is damaged.
fn read_records(mut bytes: &[u8], records: &mut Vec<Vec<u8>>) {
    while let Some((record, rest)) = split_record(bytes) {
        records.push(record.to_vec());
        bytes = rest;
    }
}

fn split_record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let (record, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
    (checksum_of(*length, record) == u32::from_le_bytes(*checksum)).then_some((record, rest))
}

/// Checksum of a record and its length, so that zeros are no record.
fn checksum_of(length: [u8; 4], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(record);
    hasher.finalize()
}
