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
/// It batches continuously, caches prompt prefixes in limited memory, streams, resumes and
/// cancels, takes orders, and announces itself with a late load and with gaps in its cache events.
pub struct StandinEngine {
    state: Arc<EngineState>,
    host: StandinHost,
}

impl StandinEngine {
    /// Listens, and announces itself if it was told to whom.
    pub fn start(settings: EngineSettings) -> Result<Self, StandinError> {
        let record = Arc::new(StandinState::new());
        let state = Arc::new(EngineState::new(settings, Arc::clone(&record)));
        let host = HostSettings {
            listen: state.settings.listen,
            threads: state.settings.threads,
            announce_to: state.settings.announce_to.clone(),
            join_secret: state.settings.join_secret.clone(),
        };
        let (handled, announced) = (Arc::clone(&state), Arc::clone(&state));
        let host = StandinHost::start(
            host,
            record,
            move |request| handle_engine(Arc::clone(&handled), request),
            move |address, epoch| announced.announce(address, epoch),
        )?;
        Ok(Self { state, host })
    }

    /// The name it announces itself by.
    pub fn name(&self) -> &str {
        &self.state.settings.name
    }

    /// Where it takes requests.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// The moment from which the times in its records count.
    pub fn started(&self) -> Instant {
        self.state.standin.started()
    }

    /// From now on misbehaves in this way.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.state.standin.set_faults(plan);
    }

    /// From now on announces that it will stop.
    pub fn announce_leaving(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Every chat it began, in order.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.standin.records()
    }

    /// Requests it works on now, and requests that wait.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.state.running.load(Ordering::Relaxed),
            queued: self.state.queued.load(Ordering::Relaxed),
            age_ms: 0,
        }
    }

    /// Requests whose cancellation it was cancelled_ids.
    pub fn cancelled_requests(&self) -> Vec<String> {
        self.state.lock().cancelled_ids.clone()
    }

    /// Models it holds now.
    pub fn offers(&self) -> Vec<ModelOffer> {
        self.state.lock().offers.clone()
    }

    /// Every order that came, in order.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.state.lock().orders.clone()
    }

    /// The role it was ordered to have.
    pub fn role(&self) -> RoleWire {
        self.state.lock().role
    }

    /// Whether it was ordered to take nothing new.
    pub fn is_drained(&self) -> bool {
        self.state.lock().drain
    }

    /// Cuts every connection and joins its threads, as a VM that is lost would. Returns what it
    /// ran.
    pub fn stop(self) -> Vec<RunRecord> {
        self.host.stop();
        self.state.standin.records()
    }
}
