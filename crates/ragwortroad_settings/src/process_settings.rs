use std::{
    fs,
    path::Path, //
};

use ini::Ini;
use snafu::ResultExt;

use crate::{
    engine_order_settings::EngineOrderSettings,
    fleet_settings::FleetSettings,
    limit_settings::LimitSettings,
    line_index::LineIndex,
    log_settings::LogSettings,
    node_settings::NodeSettings,
    settings_error::{
        FaultySnafu,
        SettingsError,
        UnreadableSnafu, //
    },
    settings_fault::{
        FaultList,
        SettingsFault, //
    },
    settings_reader::SettingsReader,
    state_settings::StateSettings, //
};

/// All settings of a node process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessSettings {
    /// `[node]`: identity and addresses of this process.
    pub node: NodeSettings,
    /// `[fleet]`: how this node finds the other nodes and authenticates itself to them.
    pub fleet: FleetSettings,
    /// `[state]`: the replicated state and this node's part in it.
    pub state: StateSettings,
    /// `[orders]`: limits on orders to engines and on loads from the weight store.
    pub orders: EngineOrderSettings,
    /// `[limits]`: limits of this node on its callers.
    pub limits: LimitSettings,
    /// `[log]`: level and format of the log.
    pub log: LogSettings,
}

impl ProcessSettings {
    /// Reads and validates the file at `path`; starts nothing.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unreadable`] if the file cannot be read, and [`SettingsError::Faulty`] with
    /// every fault in it otherwise.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let bytes = fs::read(path).context(UnreadableSnafu { path })?;
        Self::from_bytes(&bytes).context(FaultySnafu { path })
    }

    /// Validates the bytes of a settings file.
    ///
    /// # Errors
    ///
    /// All faults, in the order of their lines.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, FaultList> {
        parse_settings(bytes, Self::read)
    }

    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let settings = Self {
            node: NodeSettings::read(reader),
            fleet: FleetSettings::read(reader),
            state: StateSettings::read(reader),
            orders: EngineOrderSettings::read(reader),
            limits: LimitSettings::read(reader),
            log: LogSettings::read(reader),
        };
        settings.check_key_combinations(reader);
        settings
    }

    /// Whether this process is a member that stores the replicated state.
    pub fn is_member(&self) -> bool {
        self.state.data_folder.is_some()
    }

    /// Reports faults in combinations of keys.
    fn check_key_combinations(&self, reader: &mut SettingsReader<'_>) {
        if !reader.has_section("state") {
            let remedy = "add a [state] section with 'members = ...'".to_owned();
            reader.fault("state", "members", "is missing".to_owned(), remedy);
        }
        if self.state.lease >= self.state.follow_bound {
            let message = format!(
                "{} ms is not below follow_bound_ms = {}",
                self.state.lease.as_millis(),
                self.state.follow_bound.as_millis()
            );
            let remedy = "shorten lease_ms, or a failover makes every node stop".to_owned();
            reader.fault("state", "lease_ms", message, remedy);
        }
        if self.limits.default_deadline > self.limits.max_deadline {
            let message = "is longer than max_deadline_ms".to_owned();
            let remedy = "shorten it or lengthen max_deadline_ms".to_owned();
            reader.fault("limits", "default_deadline_ms", message, remedy);
        }
    }
}

/// Returns what `read` makes of a file, or all faults of the file.
///
/// Some editors start a file with a byte order mark, which is not part of the first section's name.
pub(crate) fn parse_settings<T>(
    bytes: &[u8],
    read: impl FnOnce(&mut SettingsReader<'_>) -> T,
) -> Result<T, FaultList> {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let text = utf8_text(bytes).map_err(|fault| FaultList(vec![fault]))?;
    let file = Ini::load_from_str_noescape(text).map_err(|error| {
        FaultList(vec![SettingsFault {
            line: error.line,
            key: "file".to_owned(),
            message: format!("is not INI here ({})", error.msg),
            remedy: "write '[section]', 'key = value', or a comment after '#'".to_owned(),
        }])
    })?;
    let mut reader = SettingsReader::new(&file, LineIndex::new(text));
    let settings = read(&mut reader);
    let faults = reader.finish();
    match faults.is_empty() {
        true => Ok(settings),
        false => Err(FaultList(faults)),
    }
}

/// U+FEFF in UTF-8.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Returns the text of a file, or a fault with the line of the first byte that is not UTF-8.
fn utf8_text(bytes: &[u8]) -> Result<&str, SettingsFault> {
    std::str::from_utf8(bytes).map_err(|error| {
        let before = &bytes[..error.valid_up_to()];
        SettingsFault {
            line: 1 + before.iter().filter(|byte| **byte == b'\n').count(),
            key: "file".to_owned(),
            message: "is not UTF-8 here".to_owned(),
            remedy: "save the file as UTF-8".to_owned(),
        }
    })
}
