use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use crate::fake_state::{
    DiskState,
    FakeFile,
    NameChange, //
};

/// A disk in memory: data that is not synced can be lost, torn or reordered by a crash.
///
/// Clones share the disk, so that a test keeps it while the process that uses it "crashes".
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    state: Arc<Mutex<DiskState>>,
}

/// A copy of the data that would survive a crash, to which a disk can be rolled back.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    files: Vec<FakeFile>,
    names: BTreeMap<String, usize>,
}

impl FakeDisk {
    /// Makes the next `count` syncs fail.
    pub fn fail_syncs(&self, count: u32) {
        self.lock().fail_syncs = count;
    }

    /// Halts the machine after `count` more operations; then every operation fails until
    /// [`crash`](Self::crash).
    pub fn stop_after(&self, count: u32) {
        self.lock().stop_after = Some(count);
    }

    /// Whether the machine has halted, or will after some more operations.
    pub fn is_stopping(&self) -> bool {
        self.lock().stop_after.is_some()
    }

    /// Whether the machine has halted.
    pub fn has_stopped(&self) -> bool {
        self.lock().stop_after == Some(0)
    }

    /// Limits the total size of all files in bytes.
    pub fn set_capacity(&self, capacity: Option<u64>) {
        self.lock().capacity = capacity;
    }

    /// Returns the number of syncs so far, and how many of them failed.
    pub fn sync_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.syncs, state.failed_syncs)
    }

    /// Discards all data, as when the disk of a VM is replaced by an empty one.
    pub fn lose(&self) {
        *self.lock() = DiskState::default();
    }

    /// Returns the data that is certain to survive a crash.
    pub fn image(&self) -> DiskImage {
        let state = self.lock();
        DiskImage {
            files: state.files.clone(),
            names: state.durable_names.clone(),
        }
    }

    /// Restores an earlier image, as when a VM is restored from a backup.
    pub fn roll_back(&self, image: &DiskImage) {
        let mut files = image.files.clone();
        for file in &mut files {
            file.current = file.synced.clone();
            file.poisoned = false;
        }
        *self.lock() = DiskState {
            files,
            names: image.names.clone(),
            durable_names: image.names.clone(),
            ..DiskState::default()
        };
    }

    /// Flips the bits of `mask` in one byte of a file, durably, as a failing disk does.
    pub fn damage(&self, name: &str, offset: usize, mask: u8) {
        let mut state = self.lock();
        let Some(&at) = state.names.get(name) else {
            return;
        };
        let file = &mut state.files[at];
        for bytes in [&mut file.current, &mut file.synced] {
            if let Some(byte) = bytes.get_mut(offset) {
                *byte ^= mask;
            }
        }
    }

    /// Creates or replaces a whole file, durably, as if somebody else had changed the folder.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.lock();
        let at = state.files.len();
        state.files.push(FakeFile {
            current: bytes.clone(),
            synced: bytes,
            poisoned: false,
        });
        state.names.insert(name.to_owned(), at);
        state.durable_names.insert(name.to_owned(), at);
    }

    /// The content of a file as a running process sees it.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        self.read(name).ok()
    }

    /// Names of all files.
    pub fn names(&self) -> Vec<String> {
        self.lock().names.keys().cloned().collect()
    }

    /// Crashes the machine. `draw(n)` returns a number below `n` and decides which unsynced data
    /// survives.
    pub fn crash(&self, mut draw: impl FnMut(u64) -> u64) {
        let mut state = self.lock();
        let kept = draw(state.pending.len() as u64 + 1) as usize;
        let changes: Vec<_> = state.pending.drain(..).take(kept).collect();
        for change in changes {
            change.apply(&mut state.durable_names);
        }
        state.names = state.durable_names.clone();
        for file in &mut state.files {
            file.crash(&mut draw);
        }
        state.fail_syncs = 0;
        state.stop_after = None;
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    pub(crate) fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.lock();
        Ok(state.files[state.find(name)?].current.clone())
    }

    pub(crate) fn create(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        let at = state.files.len();
        state.files.push(FakeFile::default());
        state.change(NameChange::Link(name.to_owned(), at));
        Ok(())
    }

    pub(crate) fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        let at = state.find(name)?;
        let free_bytes = state.free_bytes();
        let fits = bytes.len().min(free_bytes as usize);
        state.files[at].current.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    pub(crate) fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        let at = state.find(name)?;
        state.syncs += 1;
        if state.fail_syncs > 0 {
            state.fail_syncs -= 1;
            state.failed_syncs += 1;
            state.files[at].poisoned = true;
            return Err(io::Error::other("fake disk failed to sync"));
        }
        let file = &mut state.files[at];
        if !file.poisoned {
            file.synced = file.current.clone();
        }
        Ok(())
    }

    pub(crate) fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        state.find(from)?;
        state.change(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    pub(crate) fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        state.find(name)?;
        state.change(NameChange::Unlink(name.to_owned()));
        Ok(())
    }

    pub(crate) fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        state.syncs += 1;
        if state.fail_syncs > 0 {
            state.fail_syncs -= 1;
            state.failed_syncs += 1;
            return Err(io::Error::other("fake disk failed to sync the folder"));
        }
        state.durable_names = state.names.clone();
        state.pending.clear();
        Ok(())
    }
}
