use std::{
    fs,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::Duration, //
};

use snafu::ResultExt;

use crate::{
    customer_weights::CustomerWeights,
    log_settings::LogSettings,
    mechanism_settings::MechanismSettings,
    process_settings::parse_settings,
    settings_error::{
        FaultySnafu,
        SettingsError,
        UnreadableSnafu, //
    },
    settings_fault::FaultList,
    settings_reader::SettingsReader, //
};

const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;

/// Most disks whose loss can be tolerated: each takes two more voters, and a group has nine at most.
pub const MAX_DISK_LOSSES: usize = 4;

/// Settings of an edge or a registry: a process of a fleet that forwards requests by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardSettings {
    /// Name of this process's VM.
    pub name: String,
    /// Failure domain of the VM.
    pub zone: String,
    /// All failure domains of the site; empty to accept any.
    pub domains: Vec<String>,
    /// Address at which the fleet's other processes reach this one.
    pub inner: SocketAddr,
    /// Address on which it listens for them, if different, as behind a forwarded port.
    pub inner_bind: Option<SocketAddr>,
    /// Public addresses of registries that are known at startup; only the IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, with empty disks.
    pub first_start: bool,
    /// Address on which an edge listens for callers.
    pub callers: Option<SocketAddr>,
    /// Address on which an edge reports whether it is ready.
    pub readiness: Option<SocketAddr>,
    /// IP address from which an edge connects to endpoints; the operating system selects one if unset.
    pub endpoint_source: Option<IpAddr>,
    /// Address on which a registry listens for operators and endpoints.
    pub control: Option<SocketAddr>,
    /// Address on which a registry answers callers that look up edges.
    pub directory: Option<SocketAddr>,
    /// Capacity of the VM's link, in megabits per second.
    pub link_mbps: f64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Address on which the process serves its metrics.
    pub metrics: Option<SocketAddr>,
    /// Folder for a registry's durable data.
    pub data_folder: Option<PathBuf>,
    /// Most bytes that the data folder may use.
    pub data_quota: Option<u64>,
    /// Whether the disk always has everything that was synced to it, also after a power failure.
    ///
    /// Otherwise a member whose VM has restarted first asks the others what they know, since its
    /// disk may have been restored from a backup. After a power failure of all members, each waits
    /// for a majority.
    pub trust_disk: bool,
    /// Disks of registries that may be lost at the same time without losing what was acknowledged, or
    /// the service; at most [`MAX_DISK_LOSSES`].
    ///
    /// Nothing is acknowledged before enough registries vote. If unset, the registries in `seeds` are
    /// enough.
    pub tolerated_disk_losses: usize,
    /// Interval between two announcements of an endpoint.
    pub announce_every: Duration,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Longest time for which callers may cache an answer of the directory.
    pub directory_life: Duration,
    /// Retries that a service may get per request.
    pub retry_ratio: f64,
    /// Additional retries in each window, over the whole fleet.
    pub retry_slack: f64,
    /// Length of the window for `retry_slack`.
    pub retry_window: Duration,
    /// Multiple of a service's mean load that no endpoint may exceed.
    pub load_multiple: f64,
    /// `[mechanisms]`: mechanisms of an edge that can be switched off.
    pub mechanisms: MechanismSettings,
    /// `[customer_weights]`: weights of customers in the division of room.
    pub customer_weights: CustomerWeights,
    /// `[log]`: level and format of the log.
    pub log: LogSettings,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        let unset_address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            name: String::new(),
            zone: String::new(),
            domains: Vec::new(),
            inner: unset_address,
            inner_bind: None,
            seeds: Vec::new(),
            first_start: false,
            callers: None,
            readiness: None,
            endpoint_source: None,
            control: None,
            directory: None,
            metrics: None,
            link_mbps: 100.0,
            memory_bytes: 256 << 20,
            data_folder: None,
            data_quota: None,
            trust_disk: false,
            tolerated_disk_losses: 0,
            announce_every: Duration::from_secs(1),
            grace: Duration::from_secs(8),
            directory_life: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window: Duration::from_secs(10),
            load_multiple: 2.0,
            mechanisms: MechanismSettings::default(),
            customer_weights: CustomerWeights::default(),
            log: LogSettings::default(),
        }
    }
}

impl ForwardSettings {
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

    /// Returns the capacity of the VM's link in bytes per second.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_mbps * 1e6 / 8.0
    }

    fn read(reader: &mut SettingsReader<'_>) -> Self {
        let default = Self::default();
        let address = "10.0.0.7:8080";
        let inner = reader.required_value("vm", "inner", address);
        let first_start = reader.optional_value("vm", "first_start", "false");
        let link_mbps: Option<f64> = reader.optional_value("vm", "link_mbps", "100");
        let memory_mb: Option<f64> = reader.optional_value("vm", "memory_mb", "256");
        let trust_disk = reader.optional_value("registry", "trust_disk", "false");
        let span = |reader: &mut SettingsReader<'_>, key, value| {
            reader.millis("bounds", key, value, (1, 3_600_000))
        };
        let seeds: Vec<SocketAddr> = reader.list("vm", "seeds", address);
        Self {
            name: reader.required_text("vm", "name"),
            zone: reader.required_text("vm", "zone"),
            domains: reader.list("vm", "domains", "a"),
            inner: inner.unwrap_or(default.inner),
            inner_bind: optional_address(reader, "vm", "inner_bind"),
            tolerated_disk_losses: disk_losses(reader, seeds.len()),
            seeds,
            first_start: first_start.unwrap_or(false),
            callers: optional_address(reader, "edge", "callers"),
            readiness: optional_address(reader, "edge", "readiness"),
            endpoint_source: reader.optional_value("edge", "endpoint_source", "10.0.0.7"),
            control: optional_address(reader, "registry", "control"),
            directory: optional_address(reader, "registry", "directory"),
            metrics: optional_address(reader, "vm", "metrics"),
            link_mbps: link_mbps
                .filter(|mbps| *mbps > 0.0)
                .unwrap_or(default.link_mbps),
            memory_bytes: memory_mb
                .filter(|megabytes| *megabytes > 0.0)
                .map_or(default.memory_bytes, |megabytes| {
                    (megabytes * BYTES_PER_MEGABYTE) as usize
                }),
            data_folder: reader
                .text("registry", "data_folder")
                .filter(|text| !text.is_empty())
                .map(PathBuf::from),
            data_quota: reader.optional_value("registry", "data_quota_bytes", "134217728"),
            trust_disk: trust_disk.unwrap_or(false),
            announce_every: span(reader, "announce_every_ms", default.announce_every),
            grace: span(reader, "grace_ms", default.grace),
            directory_life: span(reader, "directory_life_ms", default.directory_life),
            retry_ratio: non_negative(reader, "retry_ratio", default.retry_ratio),
            retry_slack: non_negative(reader, "retry_slack", default.retry_slack),
            retry_window: span(reader, "retry_window_ms", default.retry_window),
            load_multiple: non_negative(reader, "load_multiple", default.load_multiple),
            mechanisms: MechanismSettings::read(reader),
            customer_weights: CustomerWeights::read(reader),
            log: LogSettings::read(reader),
        }
    }
}

/// Reads an address that may be missing or empty: a template leaves addresses that a process does
/// not use empty.
fn optional_address(
    reader: &mut SettingsReader<'_>,
    section: &'static str,
    key: &'static str,
) -> Option<SocketAddr> {
    let text = reader.text(section, key)?;
    if text.is_empty() {
        return None;
    }
    reader.optional_value(section, key, "10.0.0.7:8080")
}

/// Reads the number of disks that may be lost. By default a majority of `seed_count` registries is
/// left.
fn disk_losses(reader: &mut SettingsReader<'_>, seed_count: usize) -> usize {
    let key = "tolerated_disk_losses";
    let default = (seed_count.saturating_sub(1) / 2).min(MAX_DISK_LOSSES);
    let text = reader.text("bounds", key);
    // Whoever fills in a template may not know the number, and leave the placeholder.
    if text.is_none_or(|text| text.is_empty() || text.starts_with("{{")) {
        return default;
    }
    let value: Option<usize> = reader.optional_value("bounds", key, "1");
    match value {
        Some(value) if value > MAX_DISK_LOSSES => {
            let remedy = format!("give a number from 0 to {MAX_DISK_LOSSES}");
            let fault = format!("{value} is too large: a group has nine voters at most");
            reader.fault("bounds", key, fault, remedy);
            default
        }
        value => value.unwrap_or(default),
    }
}

fn non_negative(reader: &mut SettingsReader<'_>, key: &'static str, default: f64) -> f64 {
    let value: Option<f64> = reader.optional_value("bounds", key, "0.2");
    match value {
        Some(value) if !value.is_finite() || value < 0.0 => {
            let remedy = "give a number from 0 up".to_owned();
            reader.fault("bounds", key, format!("{value} is out of range"), remedy);
            default
        }
        Some(value) => value,
        None => default,
    }
}
