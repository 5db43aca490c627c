use std::{
    net::TcpStream,
    path::Path,
    time::Duration, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;
use rand::random;
use snafu::{
    OptionExt,
    ResultExt,
    Snafu,
    ensure, //
};

use crate::{
    ConfigRegister,
    RegisterCommand,
    RegisterSnapshot,
    registry_process::node_id_of, //
};

/// Time within which a registry that still runs accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A data folder from which a group can be founded anew.
///
/// A group that has lost a majority of its voters for good never elects a leader again. An operator
/// then founds a new one with what a single registry has on disk. What other registries had
/// acknowledged beyond that is lost.
#[derive(Debug)]
pub struct GroupRecovery {
    folder: LogFolder,
    /// Identity of the data folder.
    member: MemberId,
    /// The VM that holds it.
    node: NodeId,
    term: u64,
    /// Term and index of the last entry.
    pub last: LogPosition,
    /// Version of the newest configuration, committed or not; `None` before the first one.
    pub version: Option<u64>,
    /// Voters of the group that the folder belongs to.
    pub voters: usize,
}

/// Why a group cannot be founded from a data folder.
#[derive(Debug)]
#[derive(Snafu)]
pub enum RecoveryError {
    /// The settings are not those of a registry.
    #[snafu(display(
        "[registry] control or data_folder is missing; give the settings of a registry"
    ))]
    NoRegistry,
    /// A process listens at the registry's address.
    #[snafu(display("a registry runs at this address; stop all registries of the group first"))]
    StillRuns,
    /// There is no data folder.
    #[snafu(display("there is no data folder; choose a registry that kept its disk"))]
    NoFolder,
    /// The folder never belonged to a member of a group.
    #[snafu(display("the data folder is empty; choose a registry that kept its disk"))]
    EmptyFolder,
    /// The folder cannot be read or written.
    #[snafu(display("cannot use the data folder: {source}"))]
    Folder {
        /// Error of the folder.
        source: LogError,
    },
    /// What is stored cannot be decoded.
    #[snafu(display("cannot decode the data folder: {reason}; use the release that wrote it"))]
    Undecodable {
        /// What cannot be decoded.
        reason: String,
    },
}

impl GroupRecovery {
    /// Reads the data folder of a registry that doesn't run.
    ///
    /// # Errors
    ///
    /// The registry runs, or its folder is missing, empty or unreadable.
    pub fn open(settings: &ForwardSettings) -> Result<Self, RecoveryError> {
        let control = settings.control.context(NoRegistrySnafu)?;
        let path = settings.data_folder.as_deref().context(NoRegistrySnafu)?;
        let still_runs = TcpStream::connect_timeout(&control, PROBE_TIMEOUT).is_ok();
        ensure!(!still_runs, StillRunsSnafu);
        ensure!(path.exists(), NoFolderSnafu);
        Self::open_folder(path, settings)
    }

    fn open_folder(path: &Path, settings: &ForwardSettings) -> Result<Self, RecoveryError> {
        let folder_settings = FolderSettings {
            path: path.to_owned(),
            fresh_identity: random(),
            boot_id: current_boot_id(),
            quota_bytes: settings.data_quota,
            ..FolderSettings::default()
        };
        let (folder, stored) = LogFolder::open(&folder_settings).context(FolderSnafu)?;
        let is_used = stored.snapshot.is_some() || !stored.entries.is_empty();
        ensure!(is_used, EmptyFolderSnafu);
        let content = FolderContent::read(&stored)?;
        Ok(Self {
            folder,
            member: MemberId(stored.identity),
            node: node_id_of(settings.inner),
            term: stored.vote.term.max(content.last.term),
            last: content.last,
            version: content.register.version(),
            voters: content.members.voters().count(),
        })
    }

    /// Makes this registry the only voter of its group, from the next start on.
    ///
    /// # Errors
    ///
    /// The folder cannot be written.
    pub fn found_group(mut self) -> Result<(), RecoveryError> {
        let term = self.term + 1;
        let voters = [(self.member, self.node)];
        let payload = EntryPayload::Members(MemberSet::from_voters(voters));
        let change = LogChange {
            vote: Some(VoteRecord {
                term,
                voted_for: Some(self.member.0),
            }),
            entries: vec![StoredEntry {
                index: self.last.index + 1,
                term,
                bytes: payload.encode(),
            }],
            ..LogChange::default()
        };
        self.folder.append(&change).context(FolderSnafu)?;
        self.folder.sync().context(FolderSnafu)
    }
}

/// The replicated state in a data folder, with all its entries applied.
struct FolderContent {
    register: ConfigRegister,
    members: MemberSet,
    last: LogPosition,
}

impl FolderContent {
    fn read(stored: &StoredState) -> Result<Self, RecoveryError> {
        let mut content = Self {
            register: ConfigRegister::default(),
            members: MemberSet::default(),
            last: LogPosition::default(),
        };
        if let Some(snapshot) = &stored.snapshot {
            let register = RegisterSnapshot::decode(&snapshot.bytes).map_err(undecodable)?;
            if let Some(config) = register.config {
                content.register.apply(&config);
            }
            content.members = postcard::from_bytes(&snapshot.members).map_err(undecodable)?;
            content.last = LogPosition {
                term: snapshot.term,
                index: snapshot.index,
            };
        }
        for entry in &stored.entries {
            content.apply(entry)?;
        }
        Ok(content)
    }

    fn apply(&mut self, entry: &StoredEntry) -> Result<(), RecoveryError> {
        match EntryPayload::decode(&entry.bytes).map_err(undecodable)? {
            EntryPayload::Noop => {}
            EntryPayload::Members(members) => self.members = members,
            EntryPayload::Command(command) => {
                let command = postcard::from_bytes(&command).map_err(undecodable)?;
                if let RegisterCommand::Put(delta) = command {
                    self.register.apply(&delta);
                }
            }
        }
        self.last = LogPosition {
            term: entry.term,
            index: entry.index,
        };
        Ok(())
    }
}

fn undecodable(error: impl ToString) -> RecoveryError {
    let reason = error.to_string();
    RecoveryError::Undecodable { reason }
}
