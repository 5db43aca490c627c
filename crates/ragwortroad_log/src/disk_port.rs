use std::io;

use crate::{
    FakeDisk,
    RealDisk, //
};

/// The file operations that a [`LogFolder`](crate::LogFolder) needs, on a real or a fake disk.
///
/// File names are relative to the folder, without subfolders.
#[derive(Debug)]
pub enum DiskPort {
    /// Files of the operating system.
    Real(RealDisk),
    /// Files in memory whose writes can be torn, fail, run out of space or be lost.
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

    /// Creates the file `name`, or truncates it.
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

    /// Makes file creations, renames and removals durable.
    pub(crate) fn sync_folder(&mut self) -> io::Result<()> {
        match self {
            Self::Real(disk) => disk.sync_folder(),
            Self::Fake(disk) => disk.sync_folder(),
        }
    }
}
