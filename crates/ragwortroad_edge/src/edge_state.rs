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
use ragwortroad_routing::{
    CrashTable,
    PartTable,
    RestTable, //
};
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
    byte_budget::ByteBudget,
    client_table::ClientTable,
    connection_pool::ConnectionPool,
    origin_questions::OriginQuestions,
    partial_bytes::PartialBytes,
    registry_link::RegistryLink,
    relay_peers::RelayPeers,
    service_gate::ServiceGate,
    silence_checks::SilenceChecks,
    update_counts::UpdateCounts, //
};

/// Maximum number of prefix locations sent to a registry at once; it stores as many.
const MAX_SENT_LOCATIONS: usize = 4000;

/// Time after the start during which the edge waits for the registry it prefers as its home.
const PREFERRED_HOME_WAIT: Duration = Duration::from_millis(600);

/// State shared by the tasks of an edge, all of which run on one thread.
pub(crate) struct EdgeShared {
    pub(crate) settings: ForwardSettings,
    pub(crate) port: EdgePort,
    pub(crate) clock: RealClock,
    pub(crate) state: RefCell<EdgeState>,
    pub(crate) pool: ConnectionPool,
    /// Limits the bytes of request and response bodies.
    pub(crate) bodies: ByteBudget,
    /// Limits the bytes of incomplete events.
    pub(crate) partial_events: RefCell<PartialBytes>,
    /// Limits the bytes of incomplete bodies without an announced length.
    pub(crate) partial_bodies: RefCell<PartialBytes>,
    pub(crate) clients: Rc<ClientTable>,
    /// Secret by which this edge recognizes requests that other edges relay to it.
    pub(crate) relay_key: RelayKey,
    /// Notified when the edge should stop.
    pub(crate) stop: Notify,
    /// Set to true shortly before a draining edge stops; pending requests then get an error
    /// response.
    pub(crate) shutdown_imminent: watch::Sender<bool>,
    /// Longest time from one request of a client to the end of the next one's head.
    pub(crate) request_interval: watch::Sender<Duration>,
}

/// Mutable state of an edge.
///
/// Borrowed only briefly, never across an await point.
#[derive(Default)]
pub(crate) struct EdgeState {
    /// Routes of the configuration in force; `None` before the first one.
    pub(crate) map: Option<Rc<RouteMap>>,
    /// Document of the configuration in force, which the next delta is based on.
    pub(crate) document: Option<Rc<[u8]>>,
    /// The configuration in force as a full delta for other edges, created on demand.
    pub(crate) full_config: Option<ConfigDelta>,
    pub(crate) endpoints: EndpointTable,
    /// Effects of endpoint updates since they were last logged.
    pub(crate) update_counts: UpdateCounts,
    /// Loads of the endpoints that this edge has recently sent requests to.
    pub(crate) loads: BTreeMap<EndpointKey, EndpointLoad>,
    /// How long work takes at endpoints, as they tell any edge and as this edge has learned.
    ///
    /// Invariant: empty while the mechanism is switched off.
    pub(crate) speeds: SpeedTable,
    /// How long the runs of each route take.
    pub(crate) run_times: BTreeMap<String, RunTimes>,
    /// How long the answers of each route are.
    pub(crate) outputs: BTreeMap<String, OutputEstimate>,
    /// Whether requests can exhaust the memory of engines, by service.
    pub(crate) memory_bounds: BTreeMap<String, MemoryBound>,
    /// Endpoints that want no request from this edge for some time.
    pub(crate) rests: RestTable,
    /// Services whose endpoints fail if they have to reject too many requests.
    pub(crate) brittle: BrittleServices,
    pub(crate) drains: DomainDrains,
    pub(crate) reach: DomainReach,
    pub(crate) service_reach: ServiceReach,
    pub(crate) silence_checks: SilenceChecks,
    /// Edges that take requests while this edge has lost contact with endpoints.
    pub(crate) relay_peers: RelayPeers,
    /// Contended scarce services, the edges that keep their places, and what this edge keeps.
    pub(crate) keepers: KeeperTable,
    /// Limits this edge's requests to endpoints that are warming up.
    pub(crate) warmups: WarmupPace,
    pub(crate) prefixes: PrefixTable,
    /// Prefix locations at engines that have not announced themselves yet.
    pending_locations: PendingLocations,
    /// Prefix locations that have yet to be sent to the other edges.
    pub(crate) unsent_locations: Vec<PrefixLocation>,
    budgets: BTreeMap<String, RetryBudget>,
    /// Crashes of endpoints by the requests that were running there.
    pub(crate) crashes: CrashTable,
    /// Crashes of endpoints by the parts of the prompts on which they were about to write.
    pub(crate) parts: PartTable,
    /// Software versions that began the streams of this edge.
    pub(crate) origins: OriginTable,
    /// Software versions that endpoints have run recently.
    pub(crate) versions: ServiceVersions,
    /// Software versions that registries keep.
    pub(crate) version_quorum: VersionQuorum,
    /// Services with several software versions, as last checked.
    pub(crate) mixed_services: BTreeSet<ServiceTag>,
    /// Questions to registries about streams that clients take up again.
    pub(crate) origin_questions: OriginQuestions,
    /// Admission gates by service.
    pub(crate) gates: BTreeMap<String, ServiceGate>,
    /// Weights of customers in the division of room; 1 for all others.
    pub(crate) customer_weights: BTreeMap<CustomerTag, f64>,
    /// Estimated initial deadlines of clients, by route.
    pub(crate) deadline_estimates: BTreeMap<String, DeadlineEstimate>,
    pub(crate) links: BTreeMap<SourceKey, RegistryLink>,
    pub(crate) registries: BTreeSet<SocketAddr>,
    pub(crate) next_source: u32,
    /// Number of edges in the fleet, as last reported by a registry.
    pub(crate) edges: u32,
    /// Number of edges that have lost contact with endpoints, as last reported by a registry.
    pub(crate) cut_off_edges: u32,
    pub(crate) stage: EdgeStage,
    /// When a draining edge responds to the requests that are still pending; `None` before the drain.
    pub(crate) final_responses_at: Option<Instant>,
    /// Progress of fetching the configuration in force.
    pub(crate) fetch: ConfigFetch,
    /// When a registry last reported the loads of all edges.
    pub(crate) loads_received_at: Option<ClockTime>,
    /// Number of requests in flight.
    pub(crate) in_flight: usize,
    /// When the most recent request arrived.
    pub(crate) last_activity_at: ClockTime,
}

impl EdgeState {
    /// Version of the configuration in force; `None` before the first one.
    pub(crate) fn version(&self) -> Option<u64> {
        self.map.as_ref().map(|map| map.config().version)
    }

    /// Limits of clients in the configuration in force.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        let map = self.map.as_ref();
        map.map_or_else(ClientLimits::default, |map| map.config().limits)
    }

    pub(crate) fn load_mut(&mut self, key: EndpointKey) -> &mut EndpointLoad {
        self.loads.entry(key).or_default()
    }

    /// Returns the retry budget of a service, creating it if needed.
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
        // The entry exists, since it was inserted above.
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(BudgetSettings::default(), edges, now))
    }

    /// Ready endpoints of a service whose failure domain is not drained, with their positions in
    /// [`EndpointTable::ready`].
    pub(crate) fn available_endpoints(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (usize, &ReadyEndpoint)> {
        let domains = self
            .endpoints
            .domain_set(|domain| !self.drains.is_drained(domain));
        let ready = self.endpoints.ready(service).iter().enumerate();
        ready.filter(move |(_, endpoint)| domains.contains(endpoint.domain))
    }

    /// Ready endpoints of a service with requests of any edge, or with outcomes that this edge
    /// remembers.
    ///
    /// The others have no load and no failures. They are by far the most in a large fleet, and need
    /// no look-up each.
    pub(crate) fn active_endpoints(&self, service: &str) -> ReadySet {
        let own = self.loads.keys().copied();
        let home = self.home().into_iter();
        let tags = home.flat_map(RegistryLink::loaded_endpoints);
        let others = tags.filter_map(|tag| self.endpoints.find(tag));
        self.endpoints.ready_among(service, own.chain(others))
    }

    /// Failure domains that this edge can reach.
    pub(crate) fn reachable_domains(&self) -> DomainSet {
        self.endpoints
            .domain_set(|domain| self.reach.is_reachable(domain))
    }

    /// Whether an endpoint wants no request from this edge now.
    pub(crate) fn is_resting(&self, endpoint: &ReadyEndpoint, now: ClockTime) -> bool {
        self.rests.rest_left(endpoint.incarnation, now).is_some()
    }

    /// Time until the first endpoint of a service takes requests again; `None` unless all of its
    /// available endpoints want a rest.
    pub(crate) fn rest_left(&self, service: &str, now: ClockTime) -> Option<Duration> {
        if self.rests.is_empty() {
            return None;
        }
        let mut shortest = None;
        for (_, endpoint) in self.available_endpoints(service) {
            let rest = self.rests.rest_left(endpoint.incarnation, now)?;
            shortest = Some(shortest.map_or(rest, |shortest: Duration| shortest.min(rest)));
        }
        shortest
    }

    /// Applies the set of drained failure domains unless a newer revision is known.
    ///
    /// Endpoints of a domain that is no longer drained count as warming up until `warm_at`.
    pub(crate) fn apply_drains(&mut self, drains: DomainDrains, warm_at: ClockTime) {
        if drains.revision() <= self.drains.revision() {
            return;
        }
        for domain in drains.undrained_since(&self.drains) {
            self.endpoints.undrain_domain(domain, warm_at);
        }
        let drained: Vec<&str> = drains.drained().collect();
        tracing::info!(
            ?drained,
            revision = drains.revision(),
            "drained failure domains changed"
        );
        self.drains = drains;
    }

    /// Applies a prefix location reported by another edge or by an earlier process of the fleet.
    pub(crate) fn apply_location(&mut self, location: PrefixLocation, now: ClockTime) {
        match self.endpoints.find(location.engine) {
            Some(key) => {
                self.prefixes.note(location.text, key, now);
            }
            None => self.pending_locations.add(location.engine, location.text),
        }
    }

    /// Whether a prefix is known only at an engine that has not announced itself yet.
    pub(crate) fn awaits_holder(&self, prefix: u64, now: ClockTime) -> bool {
        self.pending_locations.contains(prefix)
            && self.prefixes.holders(prefix, now).next().is_none()
    }

    /// Applies an endpoint change to loads and prefix locations.
    pub(crate) fn apply_change(&mut self, change: EndpointChange, now: ClockTime) {
        match change {
            EndpointChange::Started(key) => {
                if let Some(load) = self.loads.get_mut(&key) {
                    load.reset();
                }
                self.prefixes.forget(key);
                let name = self.endpoints.record(key).map(|record| &record.name);
                let tag = name.map(|name| EndpointTag::of(name));
                if let Some(tag) = tag {
                    self.speeds.forget(tag);
                }
                for prefix in tag.map_or_else(Vec::new, |tag| self.pending_locations.take(tag)) {
                    self.prefixes.note(prefix, key, now);
                }
            }
            EndpointChange::Stopped(_) | EndpointChange::Changed(_) | EndpointChange::Same => {}
        }
    }

    /// Removes what is out of date.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        for key in self.endpoints.expire(now) {
            self.loads.remove(&key);
            self.prefixes.forget(key);
        }
        self.loads.retain(|_, load| !load.is_idle(now));
        self.speeds.expire(now);
        self.warmups.expire(now);
        self.rests.expire(now);
    }

    /// Updates the gauges that reflect the current state.
    pub(crate) fn set_gauges(&self, now: ClockTime) {
        let connected = self.links.values().filter(|link| link.queue.is_some());
        metrics::gauge!(metric_names::REQUESTS_IN_FLIGHT).set(self.in_flight as f64);
        metrics::gauge!(metric_names::REGISTRIES_CONNECTED).set(connected.count() as f64);
        metrics::gauge!(metric_names::ENDPOINTS_READY).set(self.endpoints.ready_count() as f64);
        let cut_off = self.service_reach.cut_off().count();
        metrics::gauge!(metric_names::SERVICES_CUT_OFF).set(cut_off as f64);
        metrics::gauge!(metric_names::SERVICES_CONTENDED)
            .set(self.keepers.contended_count() as f64);
        metrics::gauge!(metric_names::ENDPOINTS_KEPT).set(self.keepers.kept_count() as f64);
        metrics::gauge!(metric_names::ENDPOINTS_RESTING).set(self.rests.resting_count(now) as f64);
        metrics::gauge!(metric_names::ENDPOINTS_SLOW).set(self.speeds.slow_count(now) as f64);
        let quarantined = self.crashes.quarantined_count(now);
        metrics::gauge!(metric_names::REQUESTS_QUARANTINED).set(quarantined as f64);
        for (service, gate) in &self.gates {
            let gate = gate.gate();
            let level = gate.shares().map(|shares| shares.level);
            let label = ("service", service.clone());
            metrics::gauge!(metric_names::GATE_WAITING, std::slice::from_ref(&label))
                .set(gate.waiting() as f64);
            metrics::gauge!(metric_names::CUSTOMER_LEVEL, std::slice::from_ref(&label))
                .set(level.unwrap_or(f64::INFINITY));
            if gate.limit().is_finite() {
                metrics::gauge!(metric_names::GATE_LIMIT, &[label]).set(gate.limit());
            }
        }
        metrics::gauge!(metric_names::CONFIG_VERSION).set(self.version().unwrap_or(0) as f64);
    }

    /// Selects this edge's preferred registry among the connected ones as its home.
    ///
    /// State exchanged with the previous home is discarded, except for crashes: the new home is sent
    /// all that are known.
    pub(crate) fn update_home(&mut self, edge: &str, uptime: Duration, now: ClockTime) {
        // Right after a start, most edges reach the same registries first. If they selected these
        // as their homes, the registries would send all prefix locations to far more edges than
        // their share, moments before these edges move to another home.
        let is_candidate =
            |link: &RegistryLink| link.queue.is_some() || uptime < PREFERRED_HOME_WAIT;
        let links = self.links.values().filter(|link| is_candidate(link));
        let candidates: Vec<HomeCandidate> = links.map(RegistryLink::home_candidate).collect();
        let chosen = choose_home(edge, &candidates);
        let is_chosen = |link: &RegistryLink| link.queue.is_some() && Some(link.address) == chosen;
        let is_new_home = |link: &RegistryLink| is_chosen(link) && !link.is_home;
        let has_new_home = self.links.values().any(is_new_home);
        let known_crashes = match has_new_home {
            true => self.known_crashes(now),
            false => Vec::new(),
        };
        for link in self.links.values_mut() {
            let is_home = is_chosen(link);
            if is_home == link.is_home {
                continue;
            }
            link.is_home = is_home;
            link.totals.clear();
            link.report = CountReport::default();
            link.customer_totals.clear();
            link.customer_report = CustomerReport::default();
            link.figure_report = FigureReport::default();
            let message = match is_home {
                true => LinkMessage::Subscribe,
                false => LinkMessage::Unsubscribe,
            };
            if let Some(queue) = &link.queue {
                tracing::info!(registry = %link.address, is_home, "home registry changed");
                queue.send(&message);
                for message in known_crashes.iter().filter(|_| is_home) {
                    queue.send(message);
                }
            }
        }
    }

    /// Reports changed numbers of in-flight requests to the home registry, with what endpoints have
    /// told of their speed.
    pub(crate) fn send_loads(&mut self, now: ClockTime) {
        let Self {
            links,
            loads,
            endpoints,
            speeds,
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
        let figures = home.figure_report.changes(speeds.heard(now), now);
        let message = LinkMessage::loads(changes, figures);
        if let Some((queue, message)) = home.queue.as_ref().zip(message) {
            queue.send(&message);
        }
    }

    /// Applies loads of all edges reported by a registry, and figures of endpoints.
    pub(crate) fn apply_loads(
        &mut self,
        source: SourceKey,
        counts: &[LoadCount],
        figures: &[EndpointFigures],
        now: ClockTime,
    ) {
        self.loads_received_at = Some(now);
        if let Some(link) = self.links.get_mut(&source) {
            for total in counts {
                match total.count {
                    0 => link.totals.remove(&total.endpoint),
                    count => link.totals.insert(total.endpoint, count),
                };
            }
        }
        for told in figures {
            if let Some(figure) = told.figure(now) {
                self.speeds.note_told(told.endpoint, figure);
            }
        }
        self.set_limits(now);
    }

    /// Link to the home registry, which reports the loads of all edges.
    pub(crate) fn home(&self) -> Option<&RegistryLink> {
        self.links.values().find(|link| link.is_home)
    }

    /// Sends new prefix locations to the other edges through the home registry.
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

    /// Sends all known prefix locations to a registry that asked for them.
    pub(crate) fn send_all_locations(&self, source: SourceKey) {
        let link = self.links.get(&source);
        let Some(queue) = link.and_then(|link| link.queue.as_ref()) else {
            return;
        };
        let newest = self.prefixes.newest(MAX_SENT_LOCATIONS).into_iter();
        let locations = newest.filter_map(|(text, key)| {
            let record = self.endpoints.record(key)?;
            let engine = EndpointTag::of(&record.name);
            Some(PrefixLocation { text, engine })
        });
        queue.send(&LinkMessage::PlacesKnown(locations.collect()));
    }

    /// Whether this edge takes requests that others relay, besides those of its own clients.
    pub(crate) fn takes_relayed(&self) -> bool {
        let home = self.home();
        let total = home.map_or(0, |home| home.totals.values().sum());
        let limit = relay_limit(total, self.edges, self.cut_off_edges);
        self.in_flight as f64 <= limit
    }

    /// Changes this edge's lifecycle stage and reports it to all registries.
    pub(crate) fn set_stage(&mut self, stage: EdgeStage) {
        if self.stage == stage {
            return;
        }
        tracing::info!(?stage, version = self.version(), "lifecycle stage changed");
        self.stage = stage;
        for link in self.links.values() {
            if let Some(queue) = &link.queue {
                queue.send(&LinkMessage::EdgeStaged(stage));
            }
        }
    }
}

impl EdgeShared {
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Maximum time for which a request with `time_left` waits for state that a starting edge still
    /// lacks.
    pub(crate) fn start_wait(&self, time_left: Duration) -> Duration {
        match self.settings.mechanisms.start_wait {
            true => start_wait(self.uptime(), time_left),
            false => Duration::ZERO,
        }
    }

    /// Time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        // The clock of a process starts at one hour.
        self.now()
            .since(ClockTime::ZERO.after(Duration::from_secs(3600)))
    }
}
