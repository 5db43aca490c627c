//! Connections of an edge to the registries, and what comes over them.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::{
    task::spawn_local,
    time::sleep, //
};

use crate::{
    config_share::fetch_config,
    edge_state::{
        EdgeShared,
        EdgeState, //
    }, //
};

/// Time after a start in which a configuration is awaited that is surely the newest.
///
/// A registry that was cut off may have an older one; with the word of more than half of the
/// voters there is none newer. Without them the edge still serves with what it has.
const CERTAINTY_TIME: Duration = Duration::from_millis(1500);

/// A registry as an edge knows it.
#[derive(Debug)]
pub(crate) struct RegistryLink {
    pub(crate) address: SocketAddr,
    /// Takes what it is told, while it is connected.
    pub(crate) queue: Option<LinkQueue>,
    /// Version that it has announced on this connection.
    pub(crate) version: Option<u64>,
    /// Voters among the registries by its word; none where it has not joined the group.
    voters: u32,
    /// Registries that it hears by its word.
    hears: u32,
    /// Whether it has told all that it knows on this connection.
    has_told: bool,
    /// Whether this edge takes it for its home: tells it its loads and places of texts, and hears
    /// those of the other edges from it.
    ///
    /// Invariant: of one link at most, and only while that is connected.
    pub(crate) is_home: bool,
    /// Requests of all edges by its word, by endpoint.
    pub(crate) totals: HashMap<EndpointTag, u32>,
    /// This edge's own requests as it told this registry last.
    pub(crate) report: CountReport,
}

impl RegistryLink {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            queue: None,
            version: None,
            voters: 0,
            hears: 0,
            has_told: false,
            is_home: false,
            totals: HashMap::new(),
            report: CountReport::default(),
        }
    }

    /// The registry as it may be this edge's home.
    pub(crate) fn as_home(&self) -> HomeCandidate {
        HomeCandidate {
            address: self.address,
            hears: self.hears,
            voters: self.voters,
        }
    }

    /// Starts anew, with a connection or without.
    fn reset(&mut self, queue: Option<LinkQueue>) {
        *self = Self {
            queue,
            ..Self::new(self.address)
        };
    }

    /// Requests of other edges at an endpoint, as far as this registry tells.
    pub(crate) fn others(&self, endpoint: EndpointTag) -> u32 {
        let total = self.totals.get(&endpoint).copied().unwrap_or(0);
        total.saturating_sub(self.report.count(endpoint))
    }
}

/// Dials the registries that the settings name.
pub(crate) fn dial_seeds(shared: &Rc<EdgeShared>, seeds: &[SocketAddr]) {
    let port = shared.settings.inner.port();
    let addresses = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
    dial_registries(shared, addresses.collect());
}

fn dial_registries(shared: &Rc<EdgeShared>, addresses: Vec<SocketAddr>) {
    for address in addresses {
        let mut state = shared.state.borrow_mut();
        if !state.registries.insert(address) {
            continue;
        }
        let source = SourceKey(state.next_source);
        state.next_source += 1;
        state.links.insert(source, RegistryLink::new(address));
        drop(state);
        spawn_local(keep_registry(Rc::clone(shared), source, address));
    }
}

/// Keeps a connection to one registry for as long as the process runs.
async fn keep_registry(shared: Rc<EdgeShared>, source: SourceKey, address: SocketAddr) {
    let settings = LinkSettings::default();
    let mut pace = DialPace::default();
    loop {
        let limit = pace.patience(shared.running(), settings.dial_timeout);
        match dial_link(address, limit).await {
            Ok(stream) => {
                pace.reset();
                let (queue, receiver) = LinkQueue::new(&settings);
                begin_link(&shared, source, &queue);
                let inward = Rc::clone(&shared);
                let take = move |message| take_message(&inward, source, message);
                let ended = run_link(stream, (queue, receiver), true, &settings, take).await;
                tracing::info!(registry = %address, %ended, "registry lost");
                metrics::counter!(metric_names::LINKS_LOST, "peer" => "registry").increment(1);
                end_link(&shared, source);
            }
            Err(error) => tracing::debug!(registry = %address, %error, "registry not reached"),
        }
        sleep(pace.next_pause(shared.running())).await;
    }
}

fn begin_link(shared: &EdgeShared, source: SourceKey, queue: &LinkQueue) {
    let mut state = shared.state.borrow_mut();
    let callers = shared.settings.callers;
    if let Some(address) = callers {
        queue.send(&LinkMessage::EdgeHello {
            node: shared.settings.name.clone(),
            address,
            inner: shared.settings.inner,
            stage: state.stage,
        });
    }
    if let Some(link) = state.links.get_mut(&source) {
        tracing::info!(registry = %link.address, "registry connected");
        link.reset(Some(queue.clone()));
    }
}

fn end_link(shared: &EdgeShared, source: SourceKey) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    state.endpoints.drop_source(source, now);
    if let Some(link) = state.links.get_mut(&source) {
        link.reset(None);
        let address = link.address;
        state.fetch.note_lost(address);
    }
}

fn take_message(shared: &Rc<EdgeShared>, source: SourceKey, message: LinkMessage) {
    let now = shared.now();
    match message {
        LinkMessage::Fleet {
            registries,
            voters,
            hears,
            edges,
        } => {
            let mut state = shared.state.borrow_mut();
            state.edges = edges;
            if let Some(link) = state.links.get_mut(&source) {
                link.voters = voters;
                link.hears = hears;
            }
            drop(state);
            dial_registries(shared, registries);
        }
        LinkMessage::ConfigVersion(version) => take_version(shared, source, version),
        LinkMessage::ConfigDeltas(steps) => take_steps(shared, &steps),
        LinkMessage::ConfigAt(helper) => {
            spawn_local(fetch_config(Rc::clone(shared), helper));
        }
        LinkMessage::Loads(counts) => {
            let mut state = shared.state.borrow_mut();
            state.loads_at = Some(now);
            if let Some(link) = state.links.get_mut(&source) {
                for total in counts {
                    match total.count {
                        0 => link.totals.remove(&total.endpoint),
                        count => link.totals.insert(total.endpoint, count),
                    };
                }
            }
            state.set_limits(now);
        }
        LinkMessage::TextsPlaced(placed) => {
            let mut state = shared.state.borrow_mut();
            for place in placed {
                state.take_place(place, now);
            }
        }
        LinkMessage::DomainDrains(drains) => {
            let warm_at = now.after(return_warmup(shared.settings.announce_every));
            shared.state.borrow_mut().take_drains(drains, warm_at);
        }
        LinkMessage::WarmupShare(share) => {
            shared.state.borrow_mut().warmups.take(share, now);
        }
        LinkMessage::WantPlaces => shared.state.borrow().send_all_places(source),
        LinkMessage::EndpointsWhole(records) => {
            let mut state = shared.state.borrow_mut();
            for record in records {
                take_record(&mut state, source, record, now);
            }
            if let Some(link) = state.links.get_mut(&source) {
                link.has_told = true;
            }
        }
        LinkMessage::EndpointUpdates(updates) => {
            let mut state = shared.state.borrow_mut();
            for change in updates {
                take_change(&mut state, source, change, now);
            }
        }
        other => tracing::warn!(?other, "a message that no registry sends an edge"),
    }
    settle_config(shared);
}

fn take_change(state: &mut EdgeState, source: SourceKey, change: RegistryChange, now: ClockTime) {
    match change {
        RegistryChange::Told(record) | RegistryChange::Cooled(record) => {
            take_record(state, source, record, now);
        }
        RegistryChange::Lost(name) => state.endpoints.lost(source, &name, now),
        RegistryChange::Goodbye(name) => {
            let change = state.endpoints.said_goodbye(&name, now);
            tracing::info!(endpoint = name, ?change, "endpoint left");
            state.follow_change(change, now);
        }
    }
}

fn take_record(state: &mut EdgeState, source: SourceKey, record: EndpointRecord, now: ClockTime) {
    let name = record.name.clone();
    let stage = record.stage;
    let change = state.endpoints.told(source, record, now);
    if change != EndpointChange::Same {
        tracing::info!(endpoint = name, ?stage, ?change, "endpoint update");
    }
    state.follow_change(change, now);
}

fn take_version(shared: &EdgeShared, source: SourceKey, version: u64) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if let Some(link) = state.links.get_mut(&source) {
        link.version = Some(version);
    }
    state.fetch.note_announced(version, now);
}

/// Takes the steps to a configuration.
pub(crate) fn take_steps(shared: &EdgeShared, steps: &[ConfigDelta]) {
    let mut state = shared.state.borrow_mut();
    state.fetch.note_answered();
    let Some(last) = steps.last() else {
        return;
    };
    // An older one would take back what is in force here.
    if state.version().is_some_and(|known| last.version <= known) {
        return;
    }
    let version = last.version;
    let document = match open_steps(state.document.clone(), state.version(), steps) {
        Ok(document) => document,
        Err(error) => {
            tracing::error!(version, %error, "a configuration cannot be unpacked");
            return;
        }
    };
    match (shared.port.decode_config)(&document) {
        Ok(config) => {
            tracing::info!(
                version,
                routes = config.routes.len(),
                services = config.services.len(),
                steps = steps.len(),
                "configuration in force"
            );
            state.map = Some(Rc::new(RouteMap::new(config)));
            state.whole = Some(last).filter(|last| last.base.is_none()).cloned();
            state.document = Some(document.into());
        }
        Err(fault) => tracing::error!(version, %fault, "a configuration cannot be used"),
    }
}

/// The document that steps lead to from the one in force here.
fn open_steps(
    own: Option<Rc<[u8]>>,
    own_version: Option<u64>,
    steps: &[ConfigDelta],
) -> io::Result<Vec<u8>> {
    let mut document = own.map(|own| own.to_vec());
    let mut version = own_version;
    for step in steps {
        if step.base.is_some() && step.base != version {
            return Err(io::Error::other("it was made against another one"));
        }
        let base = step.base.and(document.as_deref());
        document = Some(step.open(base)?);
        version = Some(step.version);
    }
    document.ok_or_else(|| io::Error::other("there is no step"))
}

/// Asks for the configuration where one is known to be newer, and says so once this edge is ready.
pub(crate) fn settle_config(shared: &EdgeShared) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    ask_config(shared, &mut state, now);
    if state.stage == EdgeStage::Starting && is_settled(&state, shared.running()) {
        state.set_stage(EdgeStage::Ready);
    }
}

fn is_settled(state: &EdgeState, running: Duration) -> bool {
    let Some(version) = state.version() else {
        return false;
    };
    let is_newest = state.fetch.is_newest(version);
    // One that has just lost its disk knows of no voters, and must not make others count for less.
    let voters = state
        .links
        .values()
        .map(|link| link.voters)
        .max()
        .unwrap_or(0);
    let heard = state.links.values();
    let heard = heard.filter(|link| link.version.is_some() && link.has_told);
    let is_certain = heard.count() as u32 > voters / 2 && voters > 0;
    is_newest && (is_certain || running > CERTAINTY_TIME)
}

fn ask_config(shared: &EdgeShared, state: &mut EdgeState, now: ClockTime) {
    let connected = state.links.values().filter(|link| link.queue.is_some());
    let sources = connected.map(|link| ConfigSource {
        address: link.address,
        version: link.version,
    });
    let sources: Vec<ConfigSource> = sources.collect();
    let above = state.version();
    let edge = &shared.settings.name;
    let Some(ConfigDemand { registry, direct }) = state.fetch.next(edge, above, &sources, now)
    else {
        return;
    };
    let link = state.links.values().find(|link| link.address == registry);
    let queue = link.and_then(|link| link.queue.as_ref());
    if queue.is_some_and(|queue| queue.send(&LinkMessage::WantConfig { above, direct })) {
        state.fetch.note_asked(registry, now);
    }
}
