use std::io;

use crate::{
    FakeDisk,
    RealDisk, //
};

/// The file operations a [`LogFolder`](crate::LogFolder) needs, on a disk or on a fake of one.
///
/// Names are those of files directly in the folder.
#[derive(Debug)]
pub enum DiskPort {
    /// The operating system's files.
    Real(RealDisk),
    /// Files in memory that can tear, fail, fill up and get lost.
    Fake(FakeDisk),
}

impl DiskPort {
    pub(crate) fn list(&self) -> io::Result<Vec<String>> {
        match self {
            Self::Real(disk) => disk.list(),
            Self::Fake(disk) => disk.list(),
        }
    }

    pub(crate) fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        match self {
            Self::Real(disk) => disk.read(name),
            Self::Fake(disk) => disk.read(name),
        }
    }

    /// Creates `name`, or empties it.
    pub(crate) fn create(&mut self, name: &str) -> io::Result<()> {
        match self {
            Self::Real(disk) => disk.create(name),
            Self::Fake(disk) => disk.create(name),
        }
    }

    pub(crate) fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match self {
            Self::Real(disk) => disk.append(name, bytes),
            Self::Fake(disk) => disk.append(name, bytes),
        }
    }

    pub(crate) fn sync(&mut self, name: &str) -> io::Result<()> {
        match self {
            Self::Real(disk) => disk.sync(name),
            Self::Fake(disk) => disk.sync(name),
        }
    }

    pub(crate) fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        match self {
            Self::Real(disk) => disk.rename(from, to),
            Self::Fake(disk) => disk.rename(from, to),
        }
    }

    pub(crate) fn remove(&mut self, name: &str) -> io::Result<()> {
        match self {
            Self::Real(disk) => disk.remove(name),
            Self::Fake(disk) => disk.remove(name),
        }
    }

    /// Makes creations, renames and removals durable.
    pub(crate) fn sync_folder(&mut self) -> io::Result<()> {
        match self {
            Self::Real(disk) => disk.sync_folder(),
            Self::Fake(disk) => disk.sync_folder(),
        }
    }
}
