use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_types::prelude::*;
use tokio::sync::Notify;

use crate::{
    EngineSettings,
    OrderRecord,
    batch_semaphore::BatchSemaphore,
    prefix_cache::PrefixCache,
    standin_server::StandinState, //
};

/// State that all requests of one stand-in engine share.
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) standin: Arc<StandinState>,
    pub(crate) batch: BatchSemaphore,
    pub(crate) leaving: AtomicBool,
    pub(crate) queued: AtomicU32,
    pub(crate) running: AtomicU32,
    locked: Mutex<LockedState>,
}

/// The mutable state of an engine, behind a lock that is never held across an `await`.
pub(crate) struct LockedState {
    pub(crate) cache: PrefixCache,
    pub(crate) offers: Vec<ModelOffer>,
    /// Highest fencing token of an accepted order.
    pub(crate) highest_fence: FencingToken,
    /// Every order received, accepted or refused, in order.
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) role: RoleWire,
    pub(crate) drain: bool,
    /// Notified when the attempt is cancelled.
    pub(crate) cancels: HashMap<AttemptId, Arc<Notify>>,
    /// Ids of requests for which a cancellation was received.
    pub(crate) cancelled_ids: Vec<String>,
    sequence: u64,
    /// Load samples, oldest first, for delayed reports.
    loads: VecDeque<(Instant, LoadReport)>,
}

/// A request id and an attempt number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId {
    pub(crate) request_id: String,
    pub(crate) attempt: u32,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings, standin: Arc<StandinState>) -> Self {
        let locked = LockedState {
            cache: PrefixCache::new(settings.cache_blocks),
            offers: settings.offers.clone(),
            highest_fence: FencingToken::default(),
            orders: Vec::new(),
            role: RoleWire::default(),
            drain: false,
            cancels: HashMap::new(),
            cancelled_ids: Vec::new(),
            sequence: 0,
            loads: VecDeque::new(),
        };
        Self {
            batch: BatchSemaphore::new(settings.capacity),
            settings,
            standin,
            leaving: AtomicBool::new(false),
            queued: AtomicU32::new(0),
            running: AtomicU32::new(0),
            locked: Mutex::new(locked),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time to the next token at the current batch size.
    pub(crate) fn token_gap(&self) -> Duration {
        let running = self.running.load(Ordering::Relaxed);
        let capacity = self.settings.capacity.max(1);
        let slowdown_percent =
            self.settings.batch_slowdown_percent * running.min(capacity) / capacity;
        self.settings.token_gap * (100 + slowdown_percent) / 100
    }

    /// Builds the next announcement.
    pub(crate) fn announce(&self, address: &str, home_epoch: u64) -> AnnounceWire {
        let settings = &self.settings;
        let now = Instant::now();
        let load = LoadReport {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            age_ms: 0,
        };
        let mut locked = self.lock();
        locked.sequence += 1;
        locked.loads.push_back((now, load));
        let mut events = locked.cache.drain_events();
        if settings.event_loss_interval > 0 {
            events.retain(|event| event.sequence % settings.event_loss_interval != 0);
        }
        AnnounceWire {
            name: settings.name.clone(),
            address: address.to_owned(),
            kind: EndpointKind::Engine,
            zone: settings.zone.clone(),
            service: None,
            models: locked.offers.clone(),
            capacity: settings.capacity,
            checks_fencing: settings.checks_fencing,
            build: settings.build.clone(),
            incarnation: settings.incarnation,
            sequence: locked.sequence,
            home_epoch,
            load: locked.delayed_load(now, settings.load_report_delay),
            cache_events: events,
            leaving: self.leaving.load(Ordering::Relaxed),
        }
    }
}

impl LockedState {
    /// Returns the newest load sample that is at least `delay` old, or the oldest sample.
    fn delayed_load(&mut self, now: Instant, delay: Duration) -> LoadReport {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        while let Some((next, _)) = self.loads.get(1) {
            if age(next) < delay {
                break;
            }
            self.loads.pop_front();
        }
        let Some((at, load)) = self.loads.front() else {
            return LoadReport::default();
        };
        LoadReport {
            age_ms: age(at).as_millis() as u32,
            ..*load
        }
    }
}

/// Counts a request in a gauge of its stand-in until the guard is dropped.
pub(crate) struct GaugeGuard<'gauge>(&'gauge AtomicU32);

impl<'gauge> GaugeGuard<'gauge> {
    pub(crate) fn new(gauge: &'gauge AtomicU32) -> Self {
        gauge.fetch_add(1, Ordering::Relaxed);
        Self(gauge)
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
