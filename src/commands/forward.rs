//! `edge`, `registry` and `directory`: the processes of a fleet that forwards by host and path.

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
    line_quota::LineQuota,
    log_output::start_process_log, //
};

/// Time between two looks at a settings file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Runs an edge until SIGTERM or SIGINT.
pub(crate) fn run_edge_process(path: &Path) -> ExitStatus {
    run_process(path, "edge", |settings, page, watch| {
        let (signals, queue) = flume::unbounded();
        let watching = watch(Box::new(move |news| {
            let signal = match news {
                ProcessNews::Reload(settings) => EdgeSignal::Reload(settings),
                ProcessNews::Stop => EdgeSignal::Stop,
            };
            signals.send(signal).is_ok()
        }));
        let ended = run_edge(settings, ragwortroad_platform::edge_port(), queue, page);
        (ended.map_err(|error| error.to_string()), watching)
    })
}

/// Runs a registry until SIGTERM or SIGINT.
pub(crate) fn run_registry_process(path: &Path) -> ExitStatus {
    run_registry_role(path, "registry", run_registry)
}

/// Runs a directory until SIGTERM or SIGINT.
pub(crate) fn run_directory_process(path: &Path) -> ExitStatus {
    run_registry_role(path, "directory", run_directory)
}

/// What runs a registry or a directory to its end.
type RunRole = fn(
    ForwardSettings,
    RegistryPort,
    Receiver<RegistrySignal>,
    Option<MetricsPage>,
) -> Result<(), RegistryError>;

fn run_registry_role(path: &Path, role: &'static str, run: RunRole) -> ExitStatus {
    run_process(path, role, |settings, page, watch| {
        let (signals, queue) = flume::unbounded();
        let watching = watch(Box::new(move |news| {
            let signal = match news {
                ProcessNews::Reload(settings) => RegistrySignal::Reload(settings),
                ProcessNews::Stop => RegistrySignal::Stop,
            };
            signals.send(signal).is_ok()
        }));
        let ended = run(settings, ragwortroad_platform::registry_port(), queue, page);
        (ended.map_err(|error| error.to_string()), watching)
    })
}

/// What a process is told from outside.
enum ProcessNews {
    Reload(Box<ForwardSettings>),
    Stop,
}

/// Passes news on; tells whether anybody still takes them.
type TellNews = Box<dyn Fn(ProcessNews) -> bool + Send>;

/// The threads that watch signals and the settings file.
struct ProcessWatch {
    signals: Handle,
    end_look: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl ProcessWatch {
    fn join(self) {
        self.signals.close();
        drop(self.end_look);
        for thread in self.threads {
            if thread.join().is_err() {
                tracing::error!("a thread that watches signals or settings panicked");
            }
        }
    }
}

fn run_process(
    path: &Path,
    role: &'static str,
    body: impl FnOnce(
        ForwardSettings,
        Option<MetricsPage>,
        &dyn Fn(TellNews) -> ProcessWatch,
    ) -> (Result<(), String>, ProcessWatch),
) -> ExitStatus {
    let settings = match ForwardSettings::from_file(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::BadInput;
        }
    };
    // Dropped last, so that the last lines are written.
    let log = start_process_log(&settings.log);
    // Taken over before the first thread starts, so that no signal falls between.
    let signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("signals cannot be taken over: {error}");
            return ExitStatus::Unusable;
        }
    };
    tracing::info!(role, name = settings.name, zone = settings.zone, "started");
    let page = match MetricsPage::install() {
        Ok(page) => Some(page),
        Err(error) => {
            // Callers are served all the same.
            tracing::error!(%error, "no metrics");
            None
        }
    };
    let signals = std::cell::RefCell::new(Some(signals));
    let watched = path.to_owned();
    let first = settings.clone();
    let watch = |tell: TellNews| {
        let signals = signals.borrow_mut().take();
        let watched = WatchedFile {
            path: watched.clone(),
            known: first.clone(),
            unread: log.unread.clone(),
            quota: Arc::clone(&log.quota),
            left_out: 0,
        };
        start_watch(signals, watched, tell)
    };
    let (ended, watching) = body(settings, page, &watch);
    watching.join();
    match ended {
        Ok(()) => {
            tracing::info!(role, "stopped");
            ExitStatus::Done
        }
        Err(error) => {
            tracing::error!(role, error, "ended");
            eprintln!("{error}");
            ExitStatus::Unusable
        }
    }
}

fn start_watch(signals: Option<Signals>, mut watched: WatchedFile, tell: TellNews) -> ProcessWatch {
    let Some(mut signals) = signals else {
        unreachable!("a process starts its watch once");
    };
    let handle = signals.handle();
    let (end_look, looking) = flume::bounded::<()>(0);
    let (hang_ups, hung_up) = flume::unbounded::<()>();
    let (news, told) = flume::unbounded();
    let stops = news.clone();
    let watch_signals = thread::spawn(move || {
        for signal in signals.forever() {
            tracing::info!(signal, "signal");
            let sent = match signal {
                SIGHUP => hang_ups.send(()).is_ok(),
                _ => stops.send(ProcessNews::Stop).is_ok(),
            };
            if !sent {
                return;
            }
        }
    });
    let watch_file = thread::spawn(move || {
        loop {
            let ended = flume::Selector::new()
                .recv(&looking, |_| true)
                .recv(&hung_up, |_| false)
                .wait_timeout(LOOK_EVERY);
            if ended == Ok(true) {
                return;
            }
            watched.count_dropped();
            let changed = watched.read_changed();
            let reload = changed.map(|settings| ProcessNews::Reload(Box::new(settings)));
            if reload.is_some_and(|reload| news.send(reload).is_err()) {
                return;
            }
        }
    });
    let pass_news = thread::spawn(move || {
        while let Ok(news) = told.recv() {
            if !tell(news) {
                return;
            }
        }
    });
    ProcessWatch {
        signals: handle,
        end_look,
        threads: vec![watch_signals, watch_file, pass_news],
    }
}

/// A settings file that is looked at from time to time, and what is looked at beside it.
struct WatchedFile {
    path: PathBuf,
    known: ForwardSettings,
    /// Log lines that nobody read in time.
    unread: ErrorCounter,
    /// Limits and counts lines about single requests.
    quota: Arc<LineQuota>,
    /// Lines that were left out by the last look.
    left_out: u64,
}

impl WatchedFile {
    /// The settings, if the file holds others than those known.
    fn read_changed(&mut self) -> Option<ForwardSettings> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::warn!(%error, "the settings cannot be read; the known ones stay in force");
                return None;
            }
        };
        match ForwardSettings::from_bytes(&bytes) {
            Ok(settings) if settings == self.known => None,
            Ok(settings) => {
                self.known = settings.clone();
                Some(settings)
            }
            Err(faults) => {
                tracing::warn!(%faults, "the settings have faults; the known ones stay in force");
                None
            }
        }
    }

    /// Brings the metrics of lost log lines up to date, and says in the log how many were left out.
    fn count_dropped(&mut self) {
        let unread = self.unread.dropped_lines() as u64;
        let left_out = self.quota.left_out();
        metrics::counter!(metric_names::LOG_LINES_DROPPED, "reason" => "unread").absolute(unread);
        metrics::counter!(metric_names::LOG_LINES_DROPPED, "reason" => "limit").absolute(left_out);
        if left_out > self.left_out {
            let lines = left_out - self.left_out;
            tracing::warn!(lines, "lines about requests were left out");
        }
        self.left_out = left_out;
    }
}
