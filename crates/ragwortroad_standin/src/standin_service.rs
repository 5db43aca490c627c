use std::{
    future::pending,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
    },
    time::Instant, //
};

use http_body_util::BodyExt;
use hyper::{
    Request,
    body::Incoming, //
};
use ragwortroad_types::prelude::*;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    FaultPlan,
    RunRecord,
    RunStatus,
    ServiceSettings,
    StandinError,
    engine_state::GaugeGuard,
    standin_host::{
        HostSettings,
        StandinHost, //
    },
    standin_reply::{
        StandinReply,
        fault_reply,
        header_text,
        json_reply,
        redirect_reply,
        truncated_reply, //
    },
    standin_server::StandinState, //
};

/// State that all requests of one stand-in service share.
struct ServiceState {
    settings: ServiceSettings,
    standin: Arc<StandinState>,
    leaving: AtomicBool,
    running: AtomicU32,
    sequence: AtomicU64,
}

/// A stand-in for a replica of a plain service, such as bookings.
///
/// It doesn't deduplicate requests: the fleet must ensure that nothing runs twice, and the
/// service's records show whether it did.
pub struct StandinService {
    state: Arc<ServiceState>,
    host: StandinHost,
}

impl StandinService {
    /// Starts listening, and announcing itself if the settings name nodes to announce to.
    pub fn start(settings: ServiceSettings) -> Result<Self, StandinError> {
        let standin = Arc::new(StandinState::new());
        let state = Arc::new(ServiceState {
            settings,
            standin: Arc::clone(&standin),
            leaving: AtomicBool::new(false),
            running: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
        });
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
            move |request| handle_service(Arc::clone(&handler_state), request),
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

    /// Records of all requests that it has run, in order.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.standin.records()
    }

    /// Closes all connections and stops its threads. Returns all records.
    pub fn stop(self) -> Vec<RunRecord> {
        self.host.stop();
        self.state.standin.records()
    }
}

impl ServiceState {
    fn announce(&self, address: &str, home_epoch: u64) -> AnnounceWire {
        let settings = &self.settings;
        AnnounceWire {
            name: settings.name.clone(),
            address: address.to_owned(),
            kind: EndpointKind::Service,
            zone: settings.zone.clone(),
            service: Some(settings.service.clone()),
            models: Vec::new(),
            capacity: settings.capacity,
            checks_fencing: false,
            build: None,
            incarnation: settings.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            home_epoch,
            load: LoadReport {
                running: self.running.load(Ordering::Relaxed),
                queued: 0,
                age_ms: 0,
            },
            cache_events: Vec::new(),
            leaving: self.leaving.load(Ordering::Relaxed),
        }
    }
}

async fn handle_service(state: Arc<ServiceState>, request: Request<Incoming>) -> StandinReply {
    let _running = GaugeGuard::new(&state.running);
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let faults = state.standin.next_faults();
    let text = |name| header_text(&parts.headers, name).map(str::to_owned);
    let request_id = text("x-request-id").unwrap_or_default();
    if let Some(status) = faults.status {
        state.standin.record_rejection();
        return Ok(fault_reply(status, faults.rest, &request_id));
    }
    let body_hash = xxhash_rust::xxh3::xxh3_64(&body);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let run_index = state.standin.begin_run(RunRecord {
        endpoint: state.settings.name.clone(),
        request_id: request_id.clone(),
        customer: text("x-customer").unwrap_or_default(),
        method: parts.method.to_string(),
        path: path.to_owned(),
        idempotency_key: text("idempotency-key"),
        body_hash,
        began_ms: state.standin.elapsed_ms(),
        ended_ms: None,
        end: RunStatus::Running,
        from_token: 0,
        tokens: 0,
        cached_tokens: 0,
        prompt_tokens: 0,
    });
    if faults.crashes_on(&body) {
        state.standin.end_run(run_index, RunStatus::Cut);
        state.standin.crash();
        // The connection closes with all others.
        return pending().await;
    }
    sleep(state.settings.work_time + faults.response_delay).await;
    let echoed_id = faults.echoed_request_id.as_deref().unwrap_or(&request_id);
    let response = json!({
        "service": state.settings.service,
        "endpoint": state.settings.name,
        "method": parts.method.as_str(),
        "path": path,
        "body_hash": format!("{body_hash:016x}"),
        "body_length": body.len(),
        "idempotency_key": text("idempotency-key"),
        "run": run_index,
    });
    finish_request(&state, run_index, &faults, echoed_id, &response)
}

fn finish_request(
    state: &ServiceState,
    run_index: usize,
    faults: &FaultPlan,
    echoed_id: &str,
    response: &serde_json::Value,
) -> StandinReply {
    if faults.close_without_response {
        state.standin.end_run(run_index, RunStatus::Cut);
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if let Some(location) = &faults.redirect_to {
        state.standin.end_run(run_index, RunStatus::Completed);
        return Ok(redirect_reply(echoed_id, location));
    }
    if faults.truncate_body {
        state.standin.end_run(run_index, RunStatus::Cut);
        return Ok(truncated_reply(echoed_id, response));
    }
    state.standin.end_run(run_index, RunStatus::Completed);
    Ok(json_reply(200, echoed_id, response))
}
