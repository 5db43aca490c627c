use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Instant, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EngineSettings,
    FaultPlan,
    OrderRecord,
    RunRecord,
    StandinError,
    engine_handler::handle_engine,
    engine_state::EngineState,
    standin_host::{
        HostSettings,
        StandinHost, //
    },
    standin_server::StandinState, //
};

/// A stand-in for a model engine.
///
/// It batches continuously, keeps prompt prefixes in a bounded cache, streams, resumes and cancels
/// responses, and executes orders. Its announcements carry a delayed load and lack some cache
/// events.
pub struct StandinEngine {
    state: Arc<EngineState>,
    host: StandinHost,
}

impl StandinEngine {
    /// Starts listening, and announcing itself if the settings name nodes to announce to.
    pub fn start(settings: EngineSettings) -> Result<Self, StandinError> {
        let standin = Arc::new(StandinState::new());
        let state = Arc::new(EngineState::new(settings, Arc::clone(&standin)));
        let host = HostSettings {
            listen: state.settings.listen,
            threads: state.settings.threads,
            announce_to: state.settings.announce_to.clone(),
            join_secret: state.settings.join_secret.clone(),
        };
        let (handler_state, announcer_state) = (Arc::clone(&state), Arc::clone(&state));
        let host = StandinHost::start(
            host,
            standin,
            move |request| handle_engine(Arc::clone(&handler_state), request),
            move |address, epoch| announcer_state.announce(address, epoch),
        )?;
        Ok(Self { state, host })
    }

    /// Endpoint name in its announcements.
    pub fn name(&self) -> &str {
        &self.state.settings.name
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Start time, which the times in its records are relative to.
    pub fn started(&self) -> Instant {
        self.state.standin.started()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.state.standin.set_faults(plan);
    }

    /// Whether a request has crashed it, as [`FaultPlan::crash_on`] says.
    pub fn has_crashed(&self) -> bool {
        self.state.standin.has_crashed()
    }

    /// When it responded with [`FaultPlan::status`], in order.
    pub fn rejections(&self) -> Vec<Instant> {
        self.state.standin.rejections()
    }

    /// Marks all further announcements as leaving.
    pub fn announce_leaving(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Records of all chats that it has started, in order.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.standin.records()
    }

    /// Current numbers of running and queued requests.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.state.running.load(Ordering::Relaxed),
            queued: self.state.queued.load(Ordering::Relaxed),
            age_ms: 0,
        }
    }

    /// Ids of requests for which it received a cancellation.
    pub fn cancelled_requests(&self) -> Vec<String> {
        self.state.lock().cancelled_ids.clone()
    }

    /// Currently loaded models.
    pub fn offers(&self) -> Vec<ModelOffer> {
        self.state.lock().offers.clone()
    }

    /// All orders received, accepted or refused, in order.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.state.lock().orders.clone()
    }

    /// Role set by the last role order.
    pub fn role(&self) -> RoleWire {
        self.state.lock().role
    }

    /// Whether the last drain order directed it to accept no new requests.
    pub fn is_drained(&self) -> bool {
        self.state.lock().drain
    }

    /// Closes all connections and stops its threads, as the loss of its VM would. Returns all
    /// records.
    pub fn stop(self) -> Vec<RunRecord> {
        self.host.stop();
        self.state.standin.records()
    }
}
