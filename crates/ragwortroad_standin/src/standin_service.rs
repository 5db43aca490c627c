use std::{
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
        header_text,
        json_reply,
        redirect_reply,
        truncated_reply, //
    },
    standin_server::StandinState, //
};

/// What all requests of one stand-in service share.
struct ServiceState {
    settings: ServiceSettings,
    standin: Arc<StandinState>,
    leaving: AtomicBool,
    running: AtomicU32,
    sequence: AtomicU64,
}

/// A stand-in for a plain service, such as bookings.
///
/// It runs whatever it gets, as often as it gets it: that nothing runs twice is for the fleet to
/// see to, and its records show whether it did.
pub struct StandinService {
    state: Arc<ServiceState>,
    host: StandinHost,
}

impl StandinService {
    /// Listens, and announces itself if it was told to whom.
    pub fn start(settings: ServiceSettings) -> Result<Self, StandinError> {
        let record = Arc::new(StandinState::new());
        let state = Arc::new(ServiceState {
            settings,
            standin: Arc::clone(&record),
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
        let (handled, announced) = (Arc::clone(&state), Arc::clone(&state));
        let host = StandinHost::start(
            host,
            record,
            move |request| handle_service(Arc::clone(&handled), request),
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

    /// Every request it ran, in order.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.standin.records()
    }

    /// Cuts every connection and joins its threads. Returns what it ran.
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
        return Ok(json_reply(
            status,
            &request_id,
            &json!({"error": "set as a fault"}),
        ));
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
    sleep(state.settings.work_time + faults.response_delay).await;
    let echo = faults.echoed_request_id.as_deref().unwrap_or(&request_id);
    let answer = json!({
        "service": state.settings.service,
        "endpoint": state.settings.name,
        "method": parts.method.as_str(),
        "path": path,
        "body_hash": format!("{body_hash:016x}"),
        "body_length": body.len(),
        "idempotency_key": text("idempotency-key"),
        "run": run_index,
    });
    finish_request(&state, run_index, &faults, echo, &answer)
}

fn finish_request(
    state: &ServiceState,
    run_index: usize,
    faults: &FaultPlan,
    echo: &str,
    answer: &serde_json::Value,
) -> StandinReply {
    if faults.close_without_response {
        state.standin.end_run(run_index, RunStatus::Cut);
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if let Some(location) = &faults.redirect_to {
        state.standin.end_run(run_index, RunStatus::Completed);
        return Ok(redirect_reply(echo, location));
    }
    if faults.truncate_body {
        state.standin.end_run(run_index, RunStatus::Cut);
        return Ok(truncated_reply(echo, answer));
    }
    state.standin.end_run(run_index, RunStatus::Completed);
    Ok(json_reply(200, echo, answer))
}
