use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use ragwortroad_clock::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    time::Instant, //
};

use crate::{
    EdgePort,
    connection_pool::ConnectionPool,
    registry_link::RegistryLink,
    service_gate::ServiceGate, //
};

/// Places of texts that a registry is told at once: as many as it keeps.
const MAX_SENT_LOCATIONS: usize = 4000;

/// Time after a start for which an edge waits for the registry that it prefers as its home.
const PREFERRED_HOME_WAIT: Duration = Duration::from_millis(600);

/// What the tasks of an edge share; all of them run on one thread.
pub(crate) struct EdgeShared {
    pub(crate) settings: ForwardSettings,
    pub(crate) port: EdgePort,
    pub(crate) clock: RealClock,
    pub(crate) state: RefCell<EdgeState>,
    pub(crate) pool: ConnectionPool,
    /// Told when the edge is to stop.
    pub(crate) stop: Notify,
    /// Turns true shortly before a stopping edge ends: what has no answer by then gets one.
    pub(crate) shutdown_imminent: watch::Sender<bool>,
}

/// All that an edge knows.
///
/// Borrowed for moments only, never across an await.
#[derive(Default)]
pub(crate) struct EdgeState {
    /// The configuration in force here; nothing before the first one.
    pub(crate) map: Option<Rc<RouteMap>>,
    /// The document it was made of, against which the next one comes.
    pub(crate) document: Option<Rc<[u8]>>,
    /// The same as it is given to another edge; made when it is asked for.
    pub(crate) full_config: Option<ConfigDelta>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) loads: BTreeMap<EndpointKey, EndpointLoad>,
    /// Failure domains that are drained.
    pub(crate) drains: DomainDrains,
    /// Failure domains that this edge can reach.
    pub(crate) reach: DomainReach,
    /// When this edge may send requests to endpoints that warm up.
    pub(crate) warmups: WarmupPace,
    pub(crate) prefixes: TextTable,
    /// Places at engines that have not been heard of yet.
    pending_locations: StrayPlaces,
    /// Places of texts that the other edges are still to be told.
    pub(crate) unsent_locations: Vec<PlacedText>,
    budgets: BTreeMap<String, RetryBudget>,
    /// Who may go on, of the requests for each service.
    pub(crate) gates: BTreeMap<String, ServiceGate>,
    /// How long callers wait at first, by route.
    pub(crate) usual_timeouts: BTreeMap<String, UsualPatience>,
    pub(crate) links: BTreeMap<SourceKey, RegistryLink>,
    pub(crate) registries: BTreeSet<SocketAddr>,
    pub(crate) next_source: u32,
    /// Edges of the fleet, as the registries told last.
    pub(crate) edges: u32,
    pub(crate) stage: EdgeStage,
    /// When a stopping edge ends in any case.
    pub(crate) shutdown_at: Option<Instant>,
    /// How this edge comes by the configuration in force.
    pub(crate) fetch: ConfigFetch,
    /// When a registry told last what all edges have under way.
    pub(crate) loads_received_at: Option<ClockTime>,
    /// Requests under way.
    pub(crate) in_flight: usize,
    /// When a connection or a request came last.
    pub(crate) last_activity_at: ClockTime,
}

impl EdgeState {
    /// The version in force here.
    pub(crate) fn version(&self) -> Option<u64> {
        self.map.as_ref().map(|map| map.config().version)
    }

    /// The load of an endpoint.
    pub(crate) fn load_mut(&mut self, key: EndpointKey) -> &mut EndpointLoad {
        self.loads.entry(key).or_default()
    }

    /// The budget of a service.
    pub(crate) fn budget_mut(
        &mut self,
        service: &str,
        settings: &ForwardSettings,
        now: ClockTime,
    ) -> &mut RetryBudget {
        let edges = self.edges;
        if !self.budgets.contains_key(service) {
            let budget_settings = BudgetSettings {
                ratio: settings.retry_ratio,
                slack: settings.retry_slack,
                window: settings.retry_window,
            };
            let budget = RetryBudget::new(budget_settings, edges, now);
            self.budgets.insert(service.to_owned(), budget);
        }
        // The entry was made above where there was none.
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(BudgetSettings::default(), edges, now))
    }

    /// Endpoints of a service that get new work.
    pub(crate) fn available_endpoints(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (EndpointKey, &EndpointRecord)> {
        let ready = self.endpoints.ready(service);
        ready.filter(|(_, record)| !self.drains.is_drained(&record.zone))
    }

    /// Takes which failure domains are drained, unless a later word is known.
    ///
    /// Endpoints of a domain that is no longer drained count as warming up until `warm_at`.
    pub(crate) fn apply_drains(&mut self, drains: DomainDrains, warm_at: ClockTime) {
        if drains.revision() <= self.drains.revision() {
            return;
        }
        for domain in drains.returned_since(&self.drains) {
            self.endpoints.return_domain(domain, warm_at);
        }
        let drained: Vec<&str> = drains.drained().collect();
        tracing::info!(?drained, revision = drains.revision(), "drained domains");
        self.drains = drains;
    }

    /// Takes where another edge has placed a text, or an earlier process of the fleet.
    pub(crate) fn apply_location(&mut self, location: PlacedText, now: ClockTime) {
        match self.endpoints.find(location.engine) {
            Some(key) => {
                self.prefixes.note(location.text, key, now);
            }
            None => self.pending_locations.keep(location.engine, location.text),
        }
    }

    /// Whether a text is known to be at an engine that has not announced itself yet, and at no other.
    pub(crate) fn awaits_holder(&self, prefix: u64, now: ClockTime) -> bool {
        self.pending_locations.knows(prefix) && self.prefixes.holders(prefix, now).next().is_none()
    }

    /// Follows a change of an endpoint.
    pub(crate) fn apply_change(&mut self, change: EndpointChange, now: ClockTime) {
        match change {
            EndpointChange::Started(key) => {
                self.load_mut(key).reset();
                self.prefixes.forget(key);
                let name = self.endpoints.record(key).map(|record| &record.name);
                let tag = name.map(|name| EndpointTag::of(name));
                for prefix in tag.map_or_else(Vec::new, |tag| self.pending_locations.take(tag)) {
                    self.prefixes.note(prefix, key, now);
                }
            }
            EndpointChange::Stopped(_) | EndpointChange::Changed(_) | EndpointChange::Same => {}
        }
    }

    /// Brings the metrics of what is known up to date.
    pub(crate) fn set_gauges(&self) {
        let connected = self.links.values().filter(|link| link.queue.is_some());
        metrics::gauge!(metric_names::REQUESTS_IN_FLIGHT).set(self.in_flight as f64);
        metrics::gauge!(metric_names::REGISTRIES_CONNECTED).set(connected.count() as f64);
        metrics::gauge!(metric_names::ENDPOINTS_READY).set(self.endpoints.ready_count() as f64);
        for (service, gate) in &self.gates {
            let gate = gate.gate();
            let label = ("service", service.clone());
            metrics::gauge!(metric_names::GATE_WAITING, std::slice::from_ref(&label))
                .set(gate.waiting() as f64);
            if gate.limit().is_finite() {
                metrics::gauge!(metric_names::GATE_LIMIT, &[label]).set(gate.limit());
            }
        }
        metrics::gauge!(metric_names::CONFIG_VERSION).set(self.version().unwrap_or(0) as f64);
    }

    /// Takes the registry for its home that this edge prefers of those it is connected to.
    ///
    /// What a former home told and was told counts no longer.
    pub(crate) fn update_home(&mut self, edge: &str, uptime: Duration) {
        // Just started, most edges reach the same registries first: as their homes these would tell
        // all places of texts to far more edges than their part, a moment before these move on.
        let is_candidate =
            |link: &RegistryLink| link.queue.is_some() || uptime < PREFERRED_HOME_WAIT;
        let links = self.links.values().filter(|link| is_candidate(link));
        let candidates: Vec<HomeCandidate> = links.map(RegistryLink::home_candidate).collect();
        let chosen = choose_home(edge, &candidates);
        for link in self.links.values_mut() {
            let is_home = link.queue.is_some() && Some(link.address) == chosen;
            if is_home == link.is_home {
                continue;
            }
            link.is_home = is_home;
            link.totals.clear();
            link.report = CountReport::default();
            let message = match is_home {
                true => LinkMessage::Subscribe,
                false => LinkMessage::Unsubscribe,
            };
            if let Some(queue) = &link.queue {
                tracing::info!(registry = %link.address, is_home, "the home of this edge");
                queue.send(&message);
            }
        }
    }

    /// Tells this edge's home what it has under way where that has changed.
    pub(crate) fn send_loads(&mut self) {
        let Self {
            links,
            loads,
            endpoints,
            ..
        } = self;
        let own = loads.iter().filter_map(|(&key, load)| {
            let record = endpoints.record(key)?;
            Some((EndpointTag::of(&record.name), load.own()))
        });
        let current: BTreeMap<EndpointTag, u32> = own.filter(|(_, count)| *count > 0).collect();
        let Some(home) = links.values_mut().find(|link| link.is_home) else {
            return;
        };
        let changes = home.report.changes(&current);
        if let Some(queue) = home.queue.as_ref().filter(|_| !changes.is_empty()) {
            queue.send(&LinkMessage::Loads(changes));
        }
    }

    /// Requests of other edges at an endpoint.
    pub(crate) fn other_edges_load(&self, name: &str) -> u32 {
        let home = self.home();
        home.map_or(0, |link| link.other_edges_load(EndpointTag::of(name)))
    }

    /// Requests of this edge at an endpoint, as it told its home.
    pub(crate) fn reported_load(&self, name: &str) -> u32 {
        let home = self.home();
        home.map_or(0, |link| link.report.count(EndpointTag::of(name)))
    }

    fn home(&self) -> Option<&RegistryLink> {
        self.links.values().find(|link| link.is_home)
    }

    /// Tells the other edges, by way of this edge's home, where texts were placed here.
    pub(crate) fn send_locations(&mut self) {
        if self.unsent_locations.is_empty() {
            return;
        }
        let home = self.links.values().find(|link| link.is_home);
        if let Some(queue) = home.and_then(|link| link.queue.as_ref()) {
            let locations = std::mem::take(&mut self.unsent_locations);
            queue.send(&LinkMessage::TextsPlaced(locations));
        }
    }

    /// Tells a registry that asks for it where texts are, as far as this edge knows.
    pub(crate) fn send_all_locations(&self, source: SourceKey) {
        let link = self.links.get(&source);
        let Some(queue) = link.and_then(|link| link.queue.as_ref()) else {
            return;
        };
        let newest = self.prefixes.newest(MAX_SENT_LOCATIONS).into_iter();
        let locations = newest.filter_map(|(text, key)| {
            let record = self.endpoints.record(key)?;
            let engine = EndpointTag::of(&record.name);
            Some(PlacedText { text, engine })
        });
        queue.send(&LinkMessage::PlacesKnown(locations.collect()));
    }

    /// Tells all registries this edge's stage.
    pub(crate) fn set_stage(&mut self, stage: EdgeStage) {
        if self.stage == stage {
            return;
        }
        tracing::info!(?stage, version = self.version(), "this edge's stage");
        self.stage = stage;
        for link in self.links.values() {
            if let Some(queue) = &link.queue {
                queue.send(&LinkMessage::EdgeStaged(stage));
            }
        }
    }
}

impl EdgeShared {
    /// The time.
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// How long a request with `time_left` waits for what this edge still lacks.
    pub(crate) fn start_wait(&self, time_left: Duration) -> Duration {
        match self.settings.mechanisms.start_wait {
            true => start_wait(self.uptime(), time_left),
            false => Duration::ZERO,
        }
    }

    /// Time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        // Readings of a process's clock start an hour after zero.
        self.now()
            .since(ClockTime::ZERO.after(Duration::from_secs(3600)))
    }
}
