//! The content of a fake disk, and the part of it that survives a crash.

use std::{
    collections::BTreeMap,
    io, //
};

#[derive(Debug, Default)]
pub(crate) struct DiskState {
    pub(crate) files: Vec<FakeFile>,
    /// Files by name, as a running process sees them.
    pub(crate) names: BTreeMap<String, usize>,
    /// Files by name that are certain to survive a crash.
    pub(crate) durable_names: BTreeMap<String, usize>,
    /// Name changes since the folder was last synced, oldest first.
    pub(crate) pending: Vec<NameChange>,
    pub(crate) fail_syncs: u32,
    /// Operations left before the machine halts.
    pub(crate) stop_after: Option<u32>,
    pub(crate) capacity: Option<u64>,
    pub(crate) syncs: u64,
    pub(crate) failed_syncs: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct FakeFile {
    pub(crate) current: Vec<u8>,
    pub(crate) synced: Vec<u8>,
    /// Whether a sync failed: the pages count as clean but never reach the disk.
    pub(crate) poisoned: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum NameChange {
    Link(String, usize),
    Rename(String, String),
    Unlink(String),
}

/// Number of bytes that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

impl DiskState {
    /// Counts one operation, and fails if the machine has halted.
    pub(crate) fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.stop_after {
            Some(0) => Err(io::Error::other("the machine has stopped")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    pub(crate) fn find(&self, name: &str) -> io::Result<usize> {
        let at = self.names.get(name).copied();
        at.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    pub(crate) fn change(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending.push(change);
    }

    pub(crate) fn free_bytes(&self) -> u64 {
        let used: usize = self
            .names
            .values()
            .map(|&at| self.files[at].current.len())
            .sum();
        self.capacity
            .map_or(u64::MAX, |limit| limit.saturating_sub(used as u64))
    }
}

impl NameChange {
    pub(crate) fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Link(name, at) => {
                names.insert(name.clone(), *at);
            }
            Self::Rename(from, to) => {
                if let Some(at) = names.remove(from) {
                    names.insert(to.clone(), at);
                }
            }
            Self::Unlink(name) => {
                names.remove(name);
            }
        }
    }
}

impl FakeFile {
    /// Keeps the synced bytes and a random part of the sectors appended since.
    pub(crate) fn crash(&mut self, draw: &mut impl FnMut(u64) -> u64) {
        let kept = self.synced.len();
        let appended = self.current.len() > kept && self.current.starts_with(&self.synced);
        if appended && !self.poisoned {
            let length = kept + draw((self.current.len() - kept) as u64 + 1) as usize;
            let mut bytes = self.current[..length].to_vec();
            for sector in bytes[kept..].chunks_mut(SECTOR_BYTES) {
                if draw(4) == 1 {
                    sector.fill(0);
                }
            }
            self.synced = bytes;
        }
        self.current = self.synced.clone();
        self.poisoned = false;
    }
}
