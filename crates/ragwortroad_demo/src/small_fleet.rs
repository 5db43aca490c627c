use std::{
    fs,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use ragwortroad_load::prelude::*;
use ragwortroad_node::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;
use sha2::{
    Digest,
    Sha256, //
};
use snafu::ResultExt;
use tempfile::TempDir;

use crate::{
    DemoError, FleetPlan, OperatorClient,
    demo_error::{
        FolderSnafu,
        KeysSnafu,
        NodeSnafu,
        StandinSnafu, //
    },
};

/// The join secret of every small fleet.
const JOIN_SECRET: &str = "small-fleet-join";

/// The key of the first operator of every small fleet.
const OPERATOR_KEY: &str = "small-fleet-operator";

/// Timeout of [`wait_until`], far longer than any condition should take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Nodes and stand-in endpoints in one process, on loopback.
pub struct SmallFleet {
    /// The configuration it was started with.
    pub plan: FleetPlan,
    /// Settings of each node, including its addresses.
    pub settings: Vec<ProcessSettings>,
    /// The nodes; `None` for a stopped one.
    pub nodes: Vec<Option<NodeProcess>>,
    /// The engines; `None` for a stopped one.
    pub engines: Vec<Option<StandinEngine>>,
    /// The plain service's replicas; `None` for a stopped one.
    pub services: Vec<Option<StandinService>>,
    /// Records of stopped endpoints; whoever stops one adds its records.
    pub stopped_records: Vec<RunRecord>,
    /// Temporary folder with keys, secrets and data folders.
    pub folder: TempDir,
}

impl SmallFleet {
    /// Starts all nodes and endpoints without waiting until they are ready.
    pub fn start(plan: FleetPlan) -> Result<Self, DemoError> {
        let folder = TempDir::new().context(FolderSnafu)?;
        let settings = make_settings(&plan, folder.path())?;
        let mut fleet = Self {
            settings,
            nodes: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            stopped_records: Vec::new(),
            folder,
            plan,
        };
        for settings in &fleet.settings {
            fleet.nodes.push(Some(start_node(settings)?));
        }
        for number in 0..fleet.plan.engines {
            let engine = fleet.start_engine(number, 1)?;
            fleet.engines.push(Some(engine));
        }
        for number in 0..fleet.plan.services {
            let service = fleet.start_service(number, 1)?;
            fleet.services.push(Some(service));
        }
        Ok(fleet)
    }

    /// Starts the engine with this number. Each restart needs a higher incarnation.
    pub fn start_engine(
        &self,
        number: usize,
        incarnation: u64,
    ) -> Result<StandinEngine, DemoError> {
        let build = self.plan.engine.build.as_deref();
        self.start_engine_build(number, incarnation, build)
    }

    /// Starts the engine with this number with a build of its software.
    pub fn start_engine_build(
        &self,
        number: usize,
        incarnation: u64,
        build: Option<&str>,
    ) -> Result<StandinEngine, DemoError> {
        let offers = self.plan.engine.offers.iter().cloned();
        let offers = offers.map(|offer| ModelOffer {
            model: self.plan.model.clone(),
            ..offer
        });
        StandinEngine::start(EngineSettings {
            name: format!("engine-{number}"),
            zone: self.plan.zone(number),
            offers: offers.collect(),
            build: build.map(str::to_owned),
            announce_to: self.client_addresses(),
            join_secret: JOIN_SECRET.to_owned(),
            incarnation,
            ..self.plan.engine.clone()
        })
        .context(StandinSnafu)
    }

    /// Starts the service's replica with this number. Each restart needs a higher incarnation.
    pub fn start_service(
        &self,
        number: usize,
        incarnation: u64,
    ) -> Result<StandinService, DemoError> {
        StandinService::start(ServiceSettings {
            name: format!("desk-{number}"),
            service: self.plan.service.clone(),
            zone: self.plan.zone(number),
            announce_to: self.client_addresses(),
            join_secret: JOIN_SECRET.to_owned(),
            incarnation,
            ..self.plan.replica.clone()
        })
        .context(StandinSnafu)
    }

    /// Restarts a stopped node with the same addresses and data folder.
    pub fn restart_node(&mut self, number: usize) -> Result<(), DemoError> {
        self.nodes[number] = Some(start_node(&self.settings[number])?);
        Ok(())
    }

    /// Shuts down a node gracefully.
    pub fn stop_node(&mut self, number: usize) {
        if let Some(node) = self.nodes[number].take() {
            node.stop();
        }
    }

    /// Stops a node abruptly, as a power failure of its VM would.
    pub fn crash_node(&mut self, number: usize) {
        if let Some(node) = self.nodes[number].take() {
            node.crash();
        }
    }

    /// Deletes the data folder of a stopped node, as if its VM got a new disk.
    pub fn delete_data_folder(&self, number: usize) -> Result<(), DemoError> {
        match &self.settings[number].state.data_folder {
            Some(folder) => fs::remove_dir_all(folder).context(FolderSnafu),
            None => Ok(()),
        }
    }

    /// Blocks the links between these nodes and all others.
    pub fn partition(&self, numbers: &[usize]) {
        let id = |number: usize| NodeId::from_name(&self.settings[number].node.name);
        for (number, node) in self.nodes.iter().enumerate() {
            let is_isolated = numbers.contains(&number);
            let others =
                (0..self.nodes.len()).filter(|other| numbers.contains(other) != is_isolated);
            if let Some(node) = node {
                node.partition_filter().block(others.map(id));
            }
        }
    }

    /// Unblocks all links.
    pub fn heal_partition(&self) {
        for node in self.nodes.iter().flatten() {
            node.partition_filter().unblock_all();
        }
    }

    /// Returns the number of the leader, as `show leader` reports it at the first node in `numbers`
    /// that responds; `None` if there is no leader or no response.
    pub fn leader(&self, numbers: &[usize]) -> Option<usize> {
        let operator = self.operator_at(numbers);
        let response = operator.ask("show leader").ok()?;
        let name = response
            .body
            .get("rows")?
            .get(0)?
            .get("name")?
            .as_str()?
            .to_owned();
        let mut settings = self.settings.iter();
        settings.position(|settings| settings.node.name == name)
    }

    /// Returns the client addresses (`IP:port`) of all nodes, running or not.
    pub fn client_addresses(&self) -> Vec<String> {
        let listen = self.settings.iter().map(|settings| settings.node.listen);
        listen.map(|address| address.to_string()).collect()
    }

    /// Returns an operator client that uses only these nodes.
    pub fn operator_at(&self, numbers: &[usize]) -> OperatorClient {
        let addresses = self.client_addresses();
        let nodes = numbers.iter().map(|number| addresses[*number].clone());
        OperatorClient {
            nodes: nodes.collect(),
            key: OPERATOR_KEY.to_owned(),
        }
    }

    /// Returns an operator client that uses all nodes.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient {
            nodes: self.client_addresses(),
            key: OPERATOR_KEY.to_owned(),
        }
    }

    /// Declares the plan's customers, model and service, and waits until all endpoints are present.
    pub fn declare(&self) -> Result<(), DemoError> {
        let line = self.declaration();
        let operator = self.operator();
        wait_until("the first change", || {
            let response = operator.change(&line, "declare").ok();
            response.is_some_and(|response| response.status == 200)
        })?;
        let expected = self.plan.engines + self.plan.services;
        wait_until("all endpoints", || {
            let response = operator.ask("show endpoints where state = present").ok();
            let rows =
                response.and_then(|response| Some(response.body.get("rows")?.as_array()?.len()));
            rows == Some(expected)
        })
    }

    /// Returns one change that declares everything in the plan.
    fn declaration(&self) -> String {
        let FleetPlan { model, service, .. } = &self.plan;
        let version = self.plan.engine.offers.first();
        let version = version.map_or("v1", |offer| &offer.version);
        let engines = self.plan.engines.max(1);
        let rate = self.plan.customer_rate_limit;
        let mut edits = vec![
            format!("add model {model} version {version} replicas 1..{engines} wanted {engines}"),
            format!("add service {service}"),
        ];
        for customer in &self.plan.customers {
            let hash = api_key_hash(&FleetPlan::key_of(customer));
            edits.push(format!(
                "add customer {customer} rate {rate}/s tokens 1000000/s concurrent 512"
            ));
            edits.push(format!("add key {customer} {hash}"));
            edits.push(format!("allow customer {customer} model {model}"));
            edits.push(format!("allow customer {customer} service {service}"));
        }
        edits.join("; ")
    }

    /// Returns load settings for this fleet's nodes, customers, model and service.
    pub fn load_settings(&self) -> LoadSettings {
        let customer = |name: &String| CustomerLoad {
            name: name.clone(),
            key: FleetPlan::key_of(name),
            weight: 1.0,
        };
        LoadSettings {
            nodes: self.client_addresses(),
            customers: self.plan.customers.iter().map(customer).collect(),
            model: self.plan.model.clone(),
            service: self.plan.service.clone(),
            ..LoadSettings::default()
        }
    }

    /// Returns the records of all endpoints, including those in [`SmallFleet::stopped_records`].
    pub fn records(&self) -> Vec<RunRecord> {
        let engines = self.engines.iter().flatten();
        let services = self.services.iter().flatten();
        let mut records = self.stopped_records.clone();
        records.extend(engines.flat_map(StandinEngine::records));
        records.extend(services.flat_map(StandinService::records));
        records
    }

    /// Stops all nodes, then all endpoints, and joins all threads.
    pub fn stop(self) {
        // Nodes stop concurrently, as they would on their VMs. In sequence, members waiting for
        // other members would lengthen each drain.
        let shutdowns: Vec<_> = self
            .nodes
            .into_iter()
            .flatten()
            .map(|node| thread::spawn(move || node.stop()))
            .collect();
        for shutdown in shutdowns {
            if shutdown.join().is_err() {
                tracing::error!("the shutdown of a node panicked");
            }
        }
        for engine in self.engines.into_iter().flatten() {
            engine.stop();
        }
        for service in self.services.into_iter().flatten() {
            service.stop();
        }
    }
}

/// Waits until `is_done` returns `true`, or fails with [`DemoError::Timeout`] naming `what`. The
/// timeout is generous: it only limits how long a failing run takes.
pub fn wait_until(what: &str, mut is_done: impl FnMut() -> bool) -> Result<(), DemoError> {
    let start = Instant::now();
    while !is_done() {
        if start.elapsed() > WAIT_TIMEOUT {
            return Err(DemoError::Timeout {
                what: what.to_owned(),
                seconds: WAIT_TIMEOUT.as_secs(),
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn start_node(settings: &ProcessSettings) -> Result<NodeProcess, DemoError> {
    NodeProcess::start(settings.clone()).context(NodeSnafu {
        name: settings.node.name.clone(),
    })
}

/// Returns the SHA-256 hash of a key in hexadecimal.
fn api_key_hash(key: &str) -> String {
    data_encoding::HEXLOWER.encode(&Sha256::digest(key.as_bytes()))
}

/// Creates the settings of all nodes and the files that they refer to.
fn make_settings(plan: &FleetPlan, folder: &Path) -> Result<Vec<ProcessSettings>, DemoError> {
    let names: Vec<String> = (1..=plan.nodes)
        .map(|number| format!("node-{number}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let keys = folder.join("keys");
    let files = make_keys("small-fleet", &names).context(KeysSnafu)?;
    files.write_to(&keys).context(KeysSnafu)?;
    let join_secret_file = folder.join("join.secret");
    fs::write(&join_secret_file, JOIN_SECRET).context(FolderSnafu)?;
    let operator_key_file = folder.join("operator.key");
    fs::write(&operator_key_file, OPERATOR_KEY).context(FolderSnafu)?;
    let addresses = reserve_addresses(plan.nodes).context(FolderSnafu)?;
    let seeds = names
        .iter()
        .zip(&addresses)
        .map(|(name, (_, peer))| SeedAddress {
            name: (*name).to_owned(),
            peer: *peer,
        });
    let seeds: Vec<SeedAddress> = seeds.collect();
    let fleet = FleetSettings {
        seeds: seeds.iter().take(plan.members).cloned().collect(),
        keys,
        join_secret_file,
        operator_key_file,
    };
    let settings = |number: usize| ProcessSettings {
        node: NodeSettings {
            name: seeds[number].name.clone(),
            zone: plan.zone(number),
            listen: addresses[number].0,
            peer: addresses[number].1,
            ..NodeSettings::default()
        },
        fleet: fleet.clone(),
        state: StateSettings {
            members: fleet.seeds.clone(),
            data_folder: (number < plan.members)
                .then(|| folder.join(format!("data-{}", number + 1))),
            follow_bound: plan.follow_bound,
            lease: plan.lease,
            ..StateSettings::default()
        },
        orders: plan.orders.clone(),
        ..ProcessSettings::default()
    };
    Ok((0..plan.nodes).map(settings).collect())
}

/// Returns unused loopback addresses, all different: one for TCP and one for UDP per node.
///
/// Nodes refer to each other's addresses in their settings, so all addresses must be known before
/// the first node starts.
fn reserve_addresses(count: usize) -> std::io::Result<Vec<(SocketAddr, SocketAddr)>> {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let ports = (0..2 * count).map(|_| reserve_port(ip));
    let ports: Vec<u16> = ports.collect::<std::io::Result<_>>()?;
    let pairs = ports.chunks_exact(2);
    let pairs = pairs.map(|pair| (SocketAddr::new(ip, pair[0]), SocketAddr::new(ip, pair[1])));
    Ok(pairs.collect())
}
