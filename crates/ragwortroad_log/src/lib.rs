//! Write-ahead log and snapshots of a consensus member, stored in one data folder.
//!
//! A [`LogFolder`] holds the durable state of a member: its identity, its vote, the log entries and
//! the last snapshot. Changes are buffered with [`append`](LogFolder::append) and become durable
//! together with one [`sync`](LogFolder::sync); nothing may be acknowledged before that call has
//! returned without an error.
//!
//! ```
//! use ragwortroad_log::prelude::*;
//!
//! let disk = FakeDisk::default();
//! let settings = FolderSettings { fresh_identity: 17, ..FolderSettings::default() };
//! let (mut folder, state) = LogFolder::open_on(DiskPort::Fake(disk.clone()), &settings)?;
//! assert_eq!(state.identity, 17);
//! folder.append(&LogChange {
//!     entries: vec![StoredEntry { index: 1, term: 1, bytes: b"first".to_vec() }],
//!     ..LogChange::default()
//! })?;
//! folder.sync()?;
//! drop(folder);
//!
//! disk.crash(|_| 0);
//! let (_, state) = LogFolder::open_on(DiskPort::Fake(disk), &settings)?;
//! assert_eq!(state.entries[0].bytes, b"first");
//! # Ok::<(), LogError>(())
//! ```

mod boot_id_file;
mod disk_port;
mod fake_disk;
mod fake_state;
mod folder_files;
mod folder_generation;
mod folder_open;
mod folder_replay;
mod folder_settings;
mod hint_file;
mod log_change;
mod log_error;
mod log_folder;
mod log_record;
mod member_start;
mod real_disk;
mod record_frame;
mod record_scan;
mod rotating_journal;
mod stored_entry;
mod stored_snapshot;
mod stored_state;
mod vote_record;

/// Common items for dependent crates.
pub mod prelude {
    pub use crate::{
        boot_id_file::current_boot_id,
        disk_port::DiskPort,
        fake_disk::{
            DiskImage,
            FakeDisk, //
        },
        folder_settings::FolderSettings,
        hint_file::HintFile,
        log_change::LogChange,
        log_error::LogError,
        log_folder::LogFolder,
        member_start::MemberStart,
        real_disk::RealDisk,
        rotating_journal::RotatingJournal,
        stored_entry::StoredEntry,
        stored_snapshot::StoredSnapshot,
        stored_state::StoredState,
        vote_record::VoteRecord, //
    };
}

pub use prelude::*;
