use std::{
    fs::{
        self,
        File,
        OpenOptions,
        TryLockError, //
    },
    io::{
        self,
        Write, //
    },
    path::{
        Path,
        PathBuf, //
    }, //
};

/// Files of the operating system in one folder.
#[derive(Debug)]
pub struct RealDisk {
    path: PathBuf,
    /// File lock, held while the folder is open.
    ///
    /// Two processes on one folder would each vote from their own view of it; the lock makes the
    /// second one fail.
    _lock: File,
    /// The file written last, kept open because the log is appended to continuously.
    open: Option<(String, File)>,
    /// Bytes left to write under the quota; `None` without a quota.
    free_bytes: Option<u64>,
}

/// File whose lock shows that a process uses the folder.
pub(crate) const LOCK_NAME: &str = "lock";

impl RealDisk {
    /// Opens the folder at `path`, or creates it; returns `None` if another process has it open.
    ///
    /// `quota` limits the total size of its files in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created, read or locked.
    pub fn open(path: PathBuf, quota: Option<u64>) -> io::Result<Option<Self>> {
        fs::create_dir_all(&path)?;
        if let Some(parent) = path.parent().filter(|parent| parent.is_dir()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = File::create(path.join(LOCK_NAME))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(Self {
                free_bytes: quota
                    .map(|quota| free_below_quota(&path, quota))
                    .transpose()?,
                path,
                _lock: lock,
                open: None,
            })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    pub(crate) fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            if let Ok(name) = item?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    pub(crate) fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    pub(crate) fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::create(self.path.join(name))?;
        self.open = Some((name.to_owned(), file));
        Ok(())
    }

    pub(crate) fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let Some(free_bytes) = self.free_bytes else {
            return self.file(name)?.write_all(bytes);
        };
        // As on a full disk, the bytes that fit are written and the rest are not.
        let fits = usize::try_from(free_bytes)
            .unwrap_or(usize::MAX)
            .min(bytes.len());
        self.file(name)?.write_all(&bytes[..fits])?;
        self.free_bytes = Some(free_bytes - fits as u64);
        match fits == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    pub(crate) fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    pub(crate) fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    pub(crate) fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        let path = self.path.join(name);
        let freed = fs::metadata(&path)?.len();
        fs::remove_file(path)?;
        self.free_bytes = self.free_bytes.map(|free_bytes| free_bytes + freed);
        Ok(())
    }

    pub(crate) fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).open(path)?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

/// Returns how much of a quota the existing files leave.
fn free_below_quota(path: &Path, quota: u64) -> io::Result<u64> {
    let mut used_bytes = 0;
    for item in fs::read_dir(path)? {
        used_bytes += item?.metadata()?.len();
    }
    Ok(quota.saturating_sub(used_bytes))
}
