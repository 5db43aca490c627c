//! Selects the endpoint for a request from the edge's current state.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    registry_link::RegistryLink,
    request_plan::RequestPlan,
    scarce_services::led_to, //
};

/// An endpoint selected for a request.
#[derive(Clone, Debug)]
pub(crate) struct ChosenEndpoint {
    pub(crate) key: EndpointKey,
    pub(crate) name: String,
    /// Service of the endpoint.
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    /// Failure domain of the endpoint.
    pub(crate) zone: String,
    /// Version of the endpoint's software.
    pub(crate) software: String,
    /// Tag of that version; `None` if the endpoint announces none.
    pub(crate) version: Option<VersionTag>,
    /// Estimated number of requests at the endpoint.
    pub(crate) load: u32,
    /// How long work takes at the endpoint now, as a multiple of the usual time.
    pub(crate) time_factor: f64,
    /// Age of the other edges' load reports; `None` if they report nothing.
    pub(crate) load_age: Option<Duration>,
    /// Number of endpoints that could have been selected.
    pub(crate) candidate_count: usize,
    /// Whether the endpoint already has the request's shared prefix cached.
    pub(crate) holds_prefix: bool,
    /// The engine to copy the shared prefix from, if the endpoint does not have it cached.
    pub(crate) prefix_source: Option<ChosenSource>,
}

impl ChosenEndpoint {
    /// Age of the load in milliseconds, for logs.
    pub(crate) fn load_age_ms(&self) -> Option<u64> {
        self.load_age.map(|age| age.as_millis() as u64)
    }

    /// Time that work takes there now in percent of the usual time, for logs.
    pub(crate) fn time_percent(&self) -> u64 {
        (self.time_factor * 100.0).round() as u64
    }
}

/// An engine from which another one copies a cached prefix.
#[derive(Clone, Debug)]
pub(crate) struct ChosenSource {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// Selects an endpoint that has not been tried yet, and records the selection.
pub(crate) fn choose_endpoint(
    shared: &EdgeShared,
    plan: &RequestPlan,
    tried: &[EndpointKey],
) -> Option<ChosenEndpoint> {
    let state = shared.state.borrow();
    let choice = ChoiceContext::new(shared, &state, plan, tried);
    let chosen = choice.choose(shared.settings.load_multiple)?;
    let prefix = choice.engine.and(plan.metadata.shared_prefix());
    let is_warming = state.endpoints.is_warming(chosen.key, choice.now);
    let warmup_rate = choice.warmup_rate.filter(|_| is_warming);
    drop(state);
    if let Some(rate) = warmup_rate {
        let tag = EndpointTag::of(&chosen.name);
        let mut state = shared.state.borrow_mut();
        state.warmups.note_sent(tag, rate, shared.now());
    }
    if let Some(prefix) = prefix {
        record_location(shared, prefix, &chosen);
    }
    Some(chosen)
}

/// Snapshot of the state for one selection.
struct ChoiceContext<'a> {
    state: &'a EdgeState,
    plan: &'a RequestPlan,
    /// Rule for the service's engines; `None` for a service without engines.
    engine: Option<&'a EngineRule>,
    /// Requests per second that the service's endpoints tolerate while warming up.
    warmup_rate: Option<f64>,
    /// Engines that have the request's shared prefix cached.
    holders: Vec<EndpointKey>,
    /// Key of the request's shared prefix; `None` if prefix locations are disabled.
    prefix: Option<u64>,
    /// The registry that reports the loads of the other edges.
    home: Option<&'a RegistryLink>,
    /// Failure domains that this edge can reach.
    reachable: DomainSet,
    /// Software versions at which the request may begin; `None` if it may begin at any.
    versions: Option<Vec<VersionTag>>,
    /// Whether another edge has led the request here, as the keeper of an endpoint.
    is_led: bool,
    /// Whether the service's endpoints fail if they have to reject too many requests.
    is_brittle: bool,
    mechanisms: &'a MechanismSettings,
    tried: &'a [EndpointKey],
    now: ClockTime,
}

impl<'a> ChoiceContext<'a> {
    fn new(
        shared: &'a EdgeShared,
        state: &'a EdgeState,
        plan: &'a RequestPlan,
        tried: &'a [EndpointKey],
    ) -> Self {
        let now = shared.now();
        let mechanisms = &shared.settings.mechanisms;
        let service = plan.map.service(&plan.service);
        let prefix = plan
            .metadata
            .shared_prefix()
            .filter(|_| mechanisms.text_places);
        let holders = prefix.map(|prefix| state.prefixes.holders(prefix, now).collect());
        Self {
            state,
            plan,
            engine: service.and_then(|service| service.engine.as_ref()),
            warmup_rate: service.and_then(|service| service.warmup_per_second),
            holders: holders.unwrap_or_default(),
            prefix,
            home: state.home(),
            reachable: state.reachable_domains(),
            versions: begins_at(state, plan),
            is_led: led_to(shared, plan).is_some(),
            is_brittle: state.brittle.contains(&plan.service),
            mechanisms,
            tried,
            now,
        }
    }

    fn choose(&self, load_multiple: f64) -> Option<ChosenEndpoint> {
        let candidates = self.candidates();
        let request = SelectionRequest {
            shared_prefix: self.prefix,
            draw: rand::random(),
        };
        let key = match self.engine {
            Some(_) => {
                let settings = SelectionSettings {
                    speed_trade: self.speed_trade(),
                    ..SelectionSettings::within(load_multiple)
                };
                choose_engine(&candidates, request, &settings)
            }
            None if self.differ_in_speed(&candidates) => {
                choose_replica_by_speed(&candidates, request)
            }
            None => choose_replica(&candidates, request),
        }?;
        let chosen = candidates.iter().find(|candidate| candidate.key == key)?;
        let record = self.state.endpoints.record(key)?;
        let may_copy = self.mechanisms.text_copies && !chosen.holds_prefix;
        let copying_engine = self.engine.filter(|_| may_copy);
        let loads_received_at = self
            .state
            .loads_received_at
            .filter(|_| self.engine.is_some());
        Some(ChosenEndpoint {
            key,
            name: record.name.clone(),
            service: record.service.clone(),
            address: record.address,
            zone: record.zone.clone(),
            software: record.version.clone(),
            version: VersionTag::of(&record.service, &record.version),
            load: chosen.load,
            time_factor: chosen.time_factor,
            load_age: loads_received_at.map(|loads_received_at| self.now.since(loads_received_at)),
            candidate_count: candidates.len(),
            holds_prefix: chosen.holds_prefix,
            prefix_source: copying_engine.and_then(|engine| self.find_source(engine, record)),
        })
    }

    /// What a slow engine costs the request; `None` unless engines differ in speed.
    fn speed_trade(&self) -> Option<SpeedTrade> {
        if !self.mechanisms.endpoint_speeds || self.state.speeds.is_empty() {
            return None;
        }
        let times = self.state.run_times.get(&self.plan.rule().name);
        let times = times.copied().unwrap_or_default();
        let run_time = times.slot_time(None).unwrap_or_default();
        Some(SpeedTrade {
            run_time,
            // Holders are kept while it is unknown what reading costs.
            read_time: times.prefix_read().unwrap_or(run_time),
        })
    }

    /// Whether the speeds of plain endpoints decide.
    fn differ_in_speed(&self, candidates: &[SelectionCandidate]) -> bool {
        let is_unusual = |candidate: &SelectionCandidate| candidate.time_factor != 1.0;
        self.mechanisms.endpoint_speeds && candidates.iter().any(is_unusual)
    }

    /// How long work takes at an endpoint now, as a multiple of the usual time.
    fn time_factor(&self, endpoint: &ReadyEndpoint) -> f64 {
        if self.mechanisms.endpoint_speeds {
            return self.state.speeds.factor(endpoint.tag, self.now);
        }
        let load = self.state.loads.get(&endpoint.key);
        load.map_or(1.0, |load| load.time_factor(self.now))
    }

    /// How long an endpoint has differed from its usual speed.
    fn differed_for(&self, endpoint: &ReadyEndpoint) -> Duration {
        self.state.speeds.differed_for(endpoint.tag, self.now)
    }

    /// Endpoints that may take the request.
    fn candidates(&self) -> Vec<SelectionCandidate> {
        let service = &self.plan.service;
        let active = self.state.active_endpoints(service);
        let holders = self.holders.iter().copied();
        let holders = self.state.endpoints.ready_among(service, holders);
        let available = self.state.available_endpoints(service);
        let untried = available.filter(|(_, endpoint)| !self.tried.contains(&endpoint.key));
        let untried = untried.filter(|(_, endpoint)| !self.state.is_resting(endpoint, self.now));
        let untried = untried.filter(|(_, endpoint)| self.may_send(endpoint));
        let keeps_some = self.keeps_some();
        let untried =
            untried.filter(|(_, endpoint)| !keeps_some || self.state.keepers.keeps(endpoint.tag));
        let untried = untried.filter(|(_, endpoint)| self.may_run_at(endpoint.version));
        let is_open = |(position, endpoint): &(usize, &ReadyEndpoint)| {
            let is_open = !active.contains(*position) || self.is_open(endpoint.key);
            is_open && self.reachable.contains(endpoint.domain)
        };
        let candidate = |(position, endpoint): (usize, &ReadyEndpoint)| SelectionCandidate {
            holds_prefix: holders.contains(position),
            ..match active.contains(position) {
                true => self.candidate(endpoint),
                false => SelectionCandidate {
                    time_factor: self.time_factor(endpoint),
                    differed_for: self.differed_for(endpoint),
                    ..SelectionCandidate::idle(endpoint)
                },
            }
        };
        let (open, paused): (Vec<_>, Vec<_>) = untried.partition(is_open);
        if self.is_brittle {
            // A request that finds no room brings such an endpoint closer to its fall.
            let open = open.into_iter().map(candidate);
            return open.filter(SelectionCandidate::has_free_slot).collect();
        }
        if self.is_led {
            // The keepers of other endpoints may have room.
            return open.into_iter().map(candidate).collect();
        }
        // If all of them failed recently, trying one is still better than a refusal.
        let usable = if open.is_empty() { paused } else { open };
        usable.into_iter().map(candidate).collect()
    }

    /// Whether the request may go to endpoints of a software version; `None` if it is unknown.
    fn may_run_at(&self, version: Option<VersionTag>) -> bool {
        let bound = self.plan.version.get();
        if bound.is_some() {
            return version == bound;
        }
        // A stream of an unknown version is never continued.
        let kept = self.versions.as_ref().zip(version);
        kept.is_none_or(|(kept, version)| kept.contains(&version))
    }

    /// Whether the request goes only to endpoints that this edge keeps.
    fn keeps_some(&self) -> bool {
        let keepers = &self.state.keepers;
        self.is_led
            || keepers.kept_count() > 0 && {
                let available = self.state.available_endpoints(&self.plan.service);
                let mut untried =
                    available.filter(|(_, endpoint)| !self.tried.contains(&endpoint.key));
                untried.any(|(_, endpoint)| keepers.keeps(endpoint.tag))
            }
    }

    /// A candidate with requests or outcomes, without regard to the prefixes that it holds.
    fn candidate(&self, endpoint: &ReadyEndpoint) -> SelectionCandidate {
        let load = self.state.loads.get(&endpoint.key);
        let counts_others = self.engine.is_some() || self.is_brittle;
        let home = self.home.filter(|_| counts_others);
        let other_edges_load = home.map_or(0, |home| home.other_edges_load(endpoint.tag));
        SelectionCandidate {
            load: load.map_or(other_edges_load, |load| {
                load.estimate(other_edges_load, self.now)
            }),
            failure_rate: load.map_or(0.0, |load| self.failing(load)),
            time_factor: self.time_factor(endpoint),
            differed_for: self.differed_for(endpoint),
            ..SelectionCandidate::idle(endpoint)
        }
    }

    /// Whether the endpoint is warm, or its warm-up limit allows this edge another request.
    fn may_send(&self, endpoint: &ReadyEndpoint) -> bool {
        let is_bounded = self.warmup_rate.is_some() && endpoint.is_warming(self.now);
        !is_bounded || self.state.warmups.may_send(endpoint.tag, self.now)
    }

    fn is_open(&self, key: EndpointKey) -> bool {
        let load = self.state.loads.get(&key);
        !self.mechanisms.failure_pauses || load.is_none_or(|load| load.is_available(self.now))
    }

    fn failing(&self, load: &EndpointLoad) -> f64 {
        match self.mechanisms.failing_share {
            true => load.failure_rate(self.now),
            false => 0.0,
        }
    }

    /// Selects the engine from which `target` copies the shared prefix.
    ///
    /// An engine that is draining is also used, as long as it is not known to be gone.
    fn find_source(&self, engine: &EngineRule, target: &EndpointRecord) -> Option<ChosenSource> {
        let untried = self.holders.iter().filter(|key| !self.tried.contains(key));
        let sources = untried.filter_map(|&key| self.source(key, target));
        let sources: Vec<PrefixSource> = sources.collect();
        let key = choose_source(&sources, self.plan.metadata.shared_prefix_tokens(), engine)?;
        let record = self.state.endpoints.record(key)?;
        Some(ChosenSource {
            name: record.name.clone(),
            address: record.address,
        })
    }

    fn source(&self, key: EndpointKey, target: &EndpointRecord) -> Option<PrefixSource> {
        let record = self.state.endpoints.record(key)?;
        let is_reachable = self.state.reach.is_reachable(&record.zone);
        let is_there = record.stage != EndpointStage::Gone && record.name != target.name;
        let is_there = is_there && is_reachable;
        let load = self.state.loads.get(&key);
        (is_there && self.is_open(key)).then(|| PrefixSource {
            key,
            is_near: record.zone == target.zone,
            load: load.map_or(0, |load| load.estimate(0, self.now)),
            failure_rate: load.map_or(0.0, |load| self.failing(load)),
        })
    }
}

/// Software versions at which a request may begin; `None` if it may begin at any.
///
/// A stream that may come back begins only at a version that a majority of the registries keeps, so
/// that no loss of processes makes it go on at another one.
fn begins_at(state: &EdgeState, plan: &RequestPlan) -> Option<Vec<VersionTag>> {
    let service = ServiceTag::of(&plan.service);
    let may_come_back = plan.rule().is_resumable && plan.version.get().is_none();
    may_come_back.then(|| state.version_quorum.kept_versions(service))
}

/// Records that an engine caches a prefix, and queues it for the other edges if it is new.
fn record_location(shared: &EdgeShared, text: u64, chosen: &ChosenEndpoint) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if state.prefixes.note(text, chosen.key, now) {
        state.unsent_locations.push(PrefixLocation {
            text,
            engine: EndpointTag::of(&chosen.name),
        });
    }
}
