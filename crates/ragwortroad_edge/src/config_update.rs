//! Applies configurations received from registries and other edges.

use std::{
    io,
    mem,
    rc::Rc,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    customer_flow::unknown_customers,
    edge_state::{
        EdgeShared,
        EdgeState, //
    }, //
};

/// Time after the start during which the edge waits until its configuration is certain to be the
/// newest.
///
/// A registry that was partitioned may have an older one; once a majority of the voters has
/// reported, there is none newer. Without a majority the edge serves with what it has after this
/// time.
const NEWEST_CONFIG_WAIT: Duration = Duration::from_millis(1500);

pub(crate) fn record_version(shared: &EdgeShared, source: SourceKey, version: u64) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if let Some(link) = state.links.get_mut(&source) {
        link.version = Some(version);
    }
    state.fetch.note_announced(version, now);
}

/// Applies the steps that lead to a newer configuration.
pub(crate) fn apply_deltas(shared: &EdgeShared, steps: &[ConfigDelta]) {
    let mut state = shared.state.borrow_mut();
    state.fetch.note_answered();
    let Some(last) = steps.last() else {
        return;
    };
    // An older configuration would roll back the one in force.
    if state.version().is_some_and(|known| last.version <= known) {
        return;
    }
    let version = last.version;
    let document = match unpack_deltas(state.document.clone(), state.version(), steps) {
        Ok(document) => document,
        Err(error) => {
            tracing::error!(version, %error, "failed to decompress a configuration");
            return;
        }
    };
    match (shared.port.decode_config)(&document) {
        Ok(config) => {
            let limits = config.limits;
            tracing::info!(
                version,
                idle_timeout_ms = limits.idle_timeout.as_millis() as u64,
                head_timeout_ms = limits.head_timeout.as_millis() as u64,
                routes = config.routes.len(),
                services = config.services.len(),
                steps = steps.len(),
                "configuration in force"
            );
            let unknown = unknown_customers(&shared.settings.customer_weights, &config);
            if !unknown.is_empty() {
                tracing::warn!(
                    version,
                    customers = ?unknown,
                    "the settings have weights of customers that the configuration does not have"
                );
            }
            let interval = limits.request_interval();
            shared.request_interval.send_if_modified(|current| {
                let previous = mem::replace(current, interval);
                previous != interval
            });
            state.map = Some(Rc::new(RouteMap::new(config)));
            state.full_config = Some(last).filter(|last| last.base.is_none()).cloned();
            state.document = Some(document.into());
        }
        Err(fault) => tracing::error!(version, %fault, "rejected an invalid configuration"),
    }
}

/// Applies the steps to the current document and returns the result.
fn unpack_deltas(
    current: Option<Rc<[u8]>>,
    current_version: Option<u64>,
    steps: &[ConfigDelta],
) -> io::Result<Vec<u8>> {
    let mut document = current.map(|current| current.to_vec());
    let mut version = current_version;
    for step in steps {
        if step.base.is_some() && step.base != version {
            return Err(io::Error::other("the delta is based on another version"));
        }
        let base = step.base.and(document.as_deref());
        document = Some(step.unpack(base)?);
        version = Some(step.version);
    }
    document.ok_or_else(|| io::Error::other("the list of deltas is empty"))
}

/// Requests a newer configuration if one is known, and announces this edge as ready once its
/// configuration is current.
pub(crate) fn refresh_config(shared: &EdgeShared) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    request_config(shared, &mut state, now);
    if state.stage == EdgeStage::Starting && is_ready_to_serve(&state, shared.uptime()) {
        state.set_stage(EdgeStage::Ready);
    }
}

fn is_ready_to_serve(state: &EdgeState, uptime: Duration) -> bool {
    let Some(version) = state.version() else {
        return false;
    };
    let is_newest = state.fetch.is_newest(version);
    // A registry that has just lost its disk reports no voters and must not lower the majority.
    let voters = state
        .links
        .values()
        .map(|link| link.voters)
        .max()
        .unwrap_or(0);
    let synced = state.links.values();
    let synced = synced.filter(|link| link.version.is_some() && link.has_sent_all);
    let has_majority = synced.count() as u32 > voters / 2 && voters > 0;
    is_newest && (has_majority || uptime > NEWEST_CONFIG_WAIT)
}

fn request_config(shared: &EdgeShared, state: &mut EdgeState, now: ClockTime) {
    let connected = state.links.values().filter(|link| link.queue.is_some());
    let sources = connected.map(|link| ConfigSource {
        address: link.address,
        version: link.version,
    });
    let sources: Vec<ConfigSource> = sources.collect();
    let above = state.version();
    let edge = &shared.settings.name;
    let Some(ConfigRequest { registry, direct }) = state.fetch.next(edge, above, &sources, now)
    else {
        return;
    };
    let link = state.links.values().find(|link| link.address == registry);
    let queue = link.and_then(|link| link.queue.as_ref());
    if queue.is_some_and(|queue| queue.send(&LinkMessage::WantConfig { above, direct })) {
        state.fetch.note_asked(registry, now);
    }
}
