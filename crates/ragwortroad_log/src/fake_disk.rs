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

/// A disk in memory: what is not synced can be lost, torn or reordered by a crash.
///
/// Clones share the disk, so that a test keeps it while the process on it "crashes".
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    state: Arc<Mutex<DiskState>>,
}

/// A copy of what would survive a crash, to roll a disk back to.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    files: Vec<FakeFile>,
    names: BTreeMap<String, usize>,
}

#[derive(Debug, Default)]
struct DiskState {
    files: Vec<FakeFile>,
    /// What a running process sees.
    names: BTreeMap<String, usize>,
    /// What a crash leaves for sure.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the folder was synced, oldest first.
    pending: Vec<NameChange>,
    fail_syncs: u32,
    /// Operations left before the machine stops.
    stop_after: Option<u32>,
    capacity: Option<u64>,
    syncs: u64,
    sync_fails: u64,
}

#[derive(Clone, Debug, Default)]
struct FakeFile {
    current: Vec<u8>,
    synced: Vec<u8>,
    /// A sync failed: the pages count as clean, but never reach the disk.
    poisoned: bool,
}

#[derive(Clone, Debug)]
enum NameChange {
    Link(String, usize),
    Rename(String, String),
    Unlink(String),
}

/// Bytes a disk writes as a whole.
const SECTOR_BYTES: usize = 512;

impl FakeDisk {
    /// Lets the next `count` syncs fail.
    pub fn fail_syncs(&self, count: u32) {
        self.lock().fail_syncs = count;
    }

    /// Stops the machine in the middle: after `count` more changes nothing gets through until
    /// [`crash`](Self::crash).
    pub fn stop_after(&self, count: u32) {
        self.lock().stop_after = Some(count);
    }

    /// Whether the machine has stopped.
    pub fn has_stopped(&self) -> bool {
        self.lock().stop_after == Some(0)
    }

    /// Bounds the sum of all files' bytes.
    pub fn set_capacity(&self, capacity: Option<u64>) {
        self.lock().capacity = capacity;
    }

    /// Syncs asked for so far, and how many of them failed.
    pub fn sync_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.syncs, state.sync_fails)
    }

    /// Loses everything, as when a VM's disk is replaced by an empty one.
    pub fn lose(&self) {
        *self.lock() = DiskState::default();
    }

    /// What a crash would leave for sure.
    pub fn image(&self) -> DiskImage {
        let state = self.lock();
        DiskImage {
            files: state.files.clone(),
            names: state.durable_names.clone(),
        }
    }

    /// Puts an earlier image back, as when a VM is restored from a backup.
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

    /// Changes one byte of a file, durably: damage by the disk itself.
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

    /// Puts a whole file in place, durably: what someone else did to the folder.
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

    /// The bytes of a file as a running process sees them.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        self.read(name).ok()
    }

    /// Names of all files.
    pub fn names(&self) -> Vec<String> {
        self.lock().names.keys().cloned().collect()
    }

    /// Stops the machine: `draw(n)`, a number below `n`, decides what of the unsynced survives.
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
        state.step()?;
        let at = state.files.len();
        state.files.push(FakeFile::default());
        state.change(NameChange::Link(name.to_owned(), at));
        Ok(())
    }

    pub(crate) fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        state.step()?;
        let at = state.find(name)?;
        let room = state.room();
        let fits = bytes.len().min(room as usize);
        state.files[at].current.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    pub(crate) fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.step()?;
        let at = state.find(name)?;
        state.syncs += 1;
        if state.fail_syncs > 0 {
            state.fail_syncs -= 1;
            state.sync_fails += 1;
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
        state.step()?;
        state.find(from)?;
        state.change(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    pub(crate) fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.step()?;
        state.find(name)?;
        state.change(NameChange::Unlink(name.to_owned()));
        Ok(())
    }

    pub(crate) fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.lock();
        state.step()?;
        state.syncs += 1;
        if state.fail_syncs > 0 {
            state.fail_syncs -= 1;
            state.sync_fails += 1;
            return Err(io::Error::other("fake disk failed to sync the folder"));
        }
        state.durable_names = state.names.clone();
        state.pending.clear();
        Ok(())
    }
}

impl DiskState {
    /// Counts one change, unless the machine has stopped.
    fn step(&mut self) -> io::Result<()> {
        match &mut self.stop_after {
            Some(0) => Err(io::Error::other("the machine has stopped")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        let at = self.names.get(name).copied();
        at.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending.push(change);
    }

    fn room(&self) -> u64 {
        let used: usize = self
            .names
            .values()
            .map(|&at| self.files[at].current.len())
            .sum();
        self.capacity
            .map_or(u64::MAX, |most| most.saturating_sub(used as u64))
    }
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
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
    /// Keeps the synced bytes, and of what was appended since any of its sectors.
    fn crash(&mut self, draw: &mut impl FnMut(u64) -> u64) {
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
