//! `edge`, `registry` and `directory`: run the processes of a fleet that routes by host and path.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use flume::{
    Receiver,
    Sender, //
};
use ragwortroad_edge::prelude::*;
use ragwortroad_registry::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_telemetry::prelude::*;
use signal_hook::{
    consts::{
        SIGHUP,
        SIGINT,
        SIGTERM, //
    },
    iterator::{
        Handle,
        Signals, //
    }, //
};
use tracing_appender::non_blocking::ErrorCounter;

use crate::{
    exit_status::ExitStatus,
    log_limiter::LogLimiter,
    log_output::start_process_log, //
};

/// Interval at which the settings file is polled, as it may change without a SIGHUP.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an edge until SIGTERM or SIGINT; SIGHUP reloads the settings.
pub(crate) fn run_edge_process(path: &Path) -> ExitStatus {
    run_process(path, "edge", |settings, page, watch| {
        let (sender, receiver) = flume::unbounded();
        let watcher = watch(Box::new(move |event| {
            let signal = match event {
                ProcessEvent::Reload(settings) => EdgeSignal::Reload(settings),
                ProcessEvent::Stop => EdgeSignal::Stop,
            };
            sender.send(signal).is_ok()
        }));
        let result = run_edge(settings, ragwortroad_platform::edge_port(), receiver, page);
        (result.map_err(|error| error.to_string()), watcher)
    })
}

/// Runs a registry until SIGTERM or SIGINT; SIGHUP reloads the settings.
pub(crate) fn run_registry_process(path: &Path) -> ExitStatus {
    run_registry_role(path, "registry", run_registry)
}

/// Runs a directory until SIGTERM or SIGINT; SIGHUP reloads the settings.
pub(crate) fn run_directory_process(path: &Path) -> ExitStatus {
    run_registry_role(path, "directory", run_directory)
}

/// Function that runs a registry or a directory until it stops.
type RoleFunction = fn(
    ForwardSettings,
    RegistryPort,
    Receiver<RegistrySignal>,
    Option<MetricsPage>,
) -> Result<(), RegistryError>;

fn run_registry_role(path: &Path, role: &'static str, run: RoleFunction) -> ExitStatus {
    run_process(path, role, |settings, page, watch| {
        let (sender, receiver) = flume::unbounded();
        let watcher = watch(Box::new(move |event| {
            let signal = match event {
                ProcessEvent::Reload(settings) => RegistrySignal::Reload(settings),
                ProcessEvent::Stop => RegistrySignal::Stop,
            };
            sender.send(signal).is_ok()
        }));
        let result = run(
            settings,
            ragwortroad_platform::registry_port(),
            receiver,
            page,
        );
        (result.map_err(|error| error.to_string()), watcher)
    })
}

/// Event from outside to which a process reacts.
enum ProcessEvent {
    /// The settings file has changed and is valid.
    Reload(Box<ForwardSettings>),
    /// SIGTERM or SIGINT was received.
    Stop,
}

/// Delivers an event to the process; returns `false` once the process no longer receives events.
type EventCallback = Box<dyn Fn(ProcessEvent) -> bool + Send>;

/// The threads that watch for signals and changes of the settings file.
struct ProcessWatcher {
    /// Closing it ends the thread that waits for signals.
    signals: Handle,
    /// Dropping it ends the thread that polls the settings file.
    stop_polling: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl ProcessWatcher {
    fn join(self) {
        self.signals.close();
        drop(self.stop_polling);
        for thread in self.threads {
            if thread.join().is_err() {
                tracing::error!("a thread that watches for signals or changed settings panicked");
            }
        }
    }
}

/// Loads the settings, starts the log, signal handlers and metrics, and calls `run_role` with them.
///
/// `run_role` starts the watcher itself, through the function it is given, and returns it with its
/// result.
fn run_process(
    path: &Path,
    role: &'static str,
    run_role: impl FnOnce(
        ForwardSettings,
        Option<MetricsPage>,
        &dyn Fn(EventCallback) -> ProcessWatcher,
    ) -> (Result<(), String>, ProcessWatcher),
) -> ExitStatus {
    let settings = match ForwardSettings::from_file(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::BadInput;
        }
    };
    // Dropped last, so that the final lines are written.
    let log = start_process_log(&settings.log);
    // Installed before the first thread starts, so that no signal is missed.
    let signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("failed to install the signal handlers: {error}");
            return ExitStatus::Unusable;
        }
    };
    tracing::info!(role, name = settings.name, zone = settings.zone, "started");
    let page = match MetricsPage::install() {
        Ok(page) => Some(page),
        Err(error) => {
            // Clients are served even without metrics.
            tracing::error!(%error, "failed to install the metrics exporter; metrics are off");
            None
        }
    };
    let signals = std::cell::RefCell::new(Some(signals));
    let settings_path = path.to_owned();
    let initial = settings.clone();
    let watch_process = |callback: EventCallback| {
        let signals = signals.borrow_mut().take();
        let poller = SettingsPoller {
            path: settings_path.clone(),
            current: initial.clone(),
            overflow: log.overflow.clone(),
            limiter: Arc::clone(&log.limiter),
            reported_suppressed: 0,
        };
        spawn_watcher(signals, poller, callback)
    };
    let (result, watcher) = run_role(settings, page, &watch_process);
    watcher.join();
    match result {
        Ok(()) => {
            tracing::info!(role, "stopped");
            ExitStatus::Done
        }
        Err(error) => {
            tracing::error!(role, error, "process failed");
            eprintln!("{error}");
            ExitStatus::Unusable
        }
    }
}

fn spawn_watcher(
    signals: Option<Signals>,
    mut poller: SettingsPoller,
    callback: EventCallback,
) -> ProcessWatcher {
    let Some(mut signals) = signals else {
        unreachable!("a process starts its watcher only once");
    };
    let handle = signals.handle();
    let (stop_polling, polling_stopped) = flume::bounded::<()>(0);
    let (reload_sender, reload_receiver) = flume::unbounded::<()>();
    let (event_sender, event_receiver) = flume::unbounded();
    let stop_sender = event_sender.clone();
    let watch_signals = thread::spawn(move || {
        for signal in signals.forever() {
            tracing::info!(signal, "received a signal");
            let sent = match signal {
                SIGHUP => reload_sender.send(()).is_ok(),
                _ => stop_sender.send(ProcessEvent::Stop).is_ok(),
            };
            if !sent {
                return;
            }
        }
    });
    let poll_settings = thread::spawn(move || {
        loop {
            let is_stopped = flume::Selector::new()
                .recv(&polling_stopped, |_| true)
                .recv(&reload_receiver, |_| false)
                .wait_timeout(FILE_POLL_INTERVAL);
            if is_stopped == Ok(true) {
                return;
            }
            poller.report_lost_lines();
            let changed = poller.read_changed();
            let reload = changed.map(|settings| ProcessEvent::Reload(Box::new(settings)));
            if reload.is_some_and(|reload| event_sender.send(reload).is_err()) {
                return;
            }
        }
    });
    let deliver_events = thread::spawn(move || {
        while let Ok(event) = event_receiver.recv() {
            if !callback(event) {
                return;
            }
        }
    });
    ProcessWatcher {
        signals: handle,
        stop_polling,
        threads: vec![watch_signals, poll_settings, deliver_events],
    }
}

/// Polls the settings file for changes and reports lost log lines.
struct SettingsPoller {
    path: PathBuf,
    /// The settings that were read last without errors.
    current: ForwardSettings,
    /// Counts log lines that were dropped because the buffer was full.
    overflow: ErrorCounter,
    /// Limits the log lines about single requests and counts those suppressed.
    limiter: Arc<LogLimiter>,
    /// Number of suppressed lines at the last report.
    reported_suppressed: u64,
}

impl SettingsPoller {
    /// Reads the file; returns its settings if they are valid and differ from the current ones.
    fn read_changed(&mut self) -> Option<ForwardSettings> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::warn!(%error, "failed to read the settings; keeping the current ones");
                return None;
            }
        };
        match ForwardSettings::from_bytes(&bytes) {
            Ok(settings) if settings == self.current => None,
            Ok(settings) => {
                self.current = settings.clone();
                Some(settings)
            }
            Err(faults) => {
                tracing::warn!(%faults, "the settings are invalid; keeping the current ones");
                None
            }
        }
    }

    /// Updates the metrics of lost log lines and logs how many have been suppressed since the last
    /// report.
    fn report_lost_lines(&mut self) {
        let overflow = self.overflow.dropped_lines() as u64;
        let suppressed = self.limiter.suppressed();
        metrics::counter!(metric_names::LOG_LINES_DROPPED, "reason" => "unread").absolute(overflow);
        metrics::counter!(metric_names::LOG_LINES_DROPPED, "reason" => "limit")
            .absolute(suppressed);
        if suppressed > self.reported_suppressed {
            let lines = suppressed - self.reported_suppressed;
            tracing::warn!(lines, "log lines about requests were suppressed");
        }
        self.reported_suppressed = suppressed;
    }
}
