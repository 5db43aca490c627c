//! Which endpoint a request goes to, from what the edge knows now.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    request_plan::RequestPlan, //
};

/// An endpoint chosen for a request.
#[derive(Clone, Debug)]
pub(crate) struct ChosenEndpoint {
    pub(crate) key: EndpointKey,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// Requests there by the best knowledge here.
    pub(crate) load: u32,
    /// Age of what other edges told of their requests there; nothing where they tell nothing.
    pub(crate) load_age: Option<Duration>,
    /// Endpoints among which it was chosen.
    pub(crate) among: usize,
    /// Whether it has read the request's shared text.
    pub(crate) holds_text: bool,
    /// The engine that it copies that text from, where it has not read it.
    pub(crate) text_source: Option<ChosenSource>,
}

impl ChosenEndpoint {
    /// The age of the load, for log lines.
    pub(crate) fn load_age_ms(&self) -> Option<u64> {
        self.load_age.map(|age| age.as_millis() as u64)
    }
}

/// An engine from which another one copies text.
#[derive(Clone, Debug)]
pub(crate) struct ChosenSource {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// Chooses an endpoint that was not tried, if there is one.
pub(crate) fn choose_endpoint(
    shared: &EdgeShared,
    plan: &RequestPlan,
    tried: &[EndpointKey],
) -> Option<ChosenEndpoint> {
    let now = shared.now();
    let state = shared.state.borrow();
    let candidate = |(key, record): (EndpointKey, &'_ EndpointRecord)| {
        let load = state.loads.get(&key);
        let is_open = load.is_none_or(|load| load.is_open(now));
        (is_open, key, record.name.clone(), record.slots)
    };
    let ready = state.endpoints.ready(&plan.service);
    let ready = ready.filter(|(key, _)| !tried.contains(key));
    let known: Vec<_> = ready.map(candidate).collect();
    // Where all of them failed lately, one of them is still a better guess than a refusal.
    let has_open = known.iter().any(|(is_open, ..)| *is_open);
    let usable = known.iter().filter(|(is_open, ..)| *is_open || !has_open);
    let service = plan.map.service(&plan.service);
    let is_engine = service.is_some_and(|service| service.engine.is_some());
    let shared_text = plan.facts.shared_text();
    let holders: Vec<EndpointKey> = match shared_text {
        Some(text) => state.texts.holders(text, now).collect(),
        None => Vec::new(),
    };
    let candidates: Vec<PlaceCandidate<'_>> = usable
        .map(|(_, key, name, slots)| {
            let load = state.loads.get(key);
            let others = match is_engine {
                true => state.others_at(name),
                false => 0,
            };
            PlaceCandidate {
                key: *key,
                name,
                load: load.map_or(others, |load| load.estimate(others, now)),
                slots: *slots,
                failing: load.map_or(0.0, EndpointLoad::failing),
                holds_text: holders.contains(key),
            }
        })
        .collect();
    let request = PlaceRequest {
        shared_text,
        draw: rand::random(),
    };
    let key = match is_engine {
        true => {
            let settings = PlaceSettings::within(shared.settings.load_multiple);
            choose_engine(&candidates, request, &settings)
        }
        false => choose_replica(&candidates, request),
    }?;
    let chosen = candidates.iter().find(|candidate| candidate.key == key)?;
    let record = state.endpoints.record(key)?;
    let engine = service.and_then(|service| service.engine.as_ref());
    let text_source = engine
        .filter(|_| !chosen.holds_text)
        .and_then(|engine| find_source(&state, plan, engine, record, &holders, tried, now));
    let found = ChosenEndpoint {
        key,
        name: record.name.clone(),
        address: record.address,
        load: chosen.load,
        load_age: state
            .loads_at
            .filter(|_| is_engine)
            .map(|told_at| now.since(told_at)),
        among: candidates.len(),
        holds_text: chosen.holds_text,
        text_source,
    };
    drop(state);
    if let Some(text) = shared_text.filter(|_| is_engine) {
        note_place(shared, text, &found);
    }
    Some(found)
}

/// The engine from which `target` copies the request's shared text.
///
/// One that leaves is asked too, as long as nobody has said that it is gone.
fn find_source(
    state: &EdgeState,
    plan: &RequestPlan,
    engine: &EngineRule,
    target: &EndpointRecord,
    holders: &[EndpointKey],
    tried: &[EndpointKey],
    now: ClockTime,
) -> Option<ChosenSource> {
    let untried = holders.iter().filter(|key| !tried.contains(key));
    let sources: Vec<TextSource> = untried
        .filter_map(|&key| {
            let record = state.endpoints.record(key)?;
            let is_there = record.stage != EndpointStage::Gone && record.name != target.name;
            let load = state.loads.get(&key);
            let is_open = load.is_none_or(|load| load.is_open(now));
            (is_there && is_open).then(|| TextSource {
                key,
                is_near: record.zone == target.zone,
                load: load.map_or(0, |load| load.estimate(0, now)),
                failing: load.map_or(0.0, EndpointLoad::failing),
            })
        })
        .collect();
    let key = choose_source(&sources, plan.facts.shared_tokens(), engine)?;
    let record = state.endpoints.record(key)?;
    Some(ChosenSource {
        name: record.name.clone(),
        address: record.address,
    })
}

/// Remembers that an engine reads a text, and has the other edges told if they do not know.
fn note_place(shared: &EdgeShared, text: u64, chosen: &ChosenEndpoint) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if state.texts.note(text, chosen.key, now) {
        state.placed.push(PlacedText {
            text,
            engine: EndpointTag::of(&chosen.name),
        });
    }
}
