use std::{
    fs,
    net::{
        SocketAddr,
        TcpListener,
        UdpSocket, //
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

/// The first operator's key of every small fleet.
const OPERATOR_KEY: &str = "small-fleet-operator";

/// How long something that must come about is waited for; far more than it takes.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time between two looks at something that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Nodes and stand-in endpoints in one process, on loopback.
pub struct SmallFleet {
    /// What it was made from.
    pub plan: FleetPlan,
    /// Settings of each node, with its addresses.
    pub settings: Vec<ProcessSettings>,
    /// The nodes; nothing where one is stopped.
    pub nodes: Vec<Option<NodeProcess>>,
    /// The engines; nothing where one is stopped.
    pub engines: Vec<Option<StandinEngine>>,
    /// The plain service's replicas; nothing where one is stopped.
    pub services: Vec<Option<StandinService>>,
    /// What stopped endpoints had run.
    pub stopped_records: Vec<RunRecord>,
    /// Keys, secrets and data folders.
    pub folder: TempDir,
}

impl SmallFleet {
    /// Starts nodes and endpoints and waits for none of them.
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

    /// Starts the engine with this number, in a given incarnation.
    pub fn start_engine(
        &self,
        number: usize,
        incarnation: u64,
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
            announce_to: self.caller_addresses(),
            join_secret: JOIN_SECRET.to_owned(),
            incarnation,
            ..self.plan.engine.clone()
        })
        .context(StandinSnafu)
    }

    /// Starts the service's replica with this number, in a given incarnation.
    pub fn start_service(
        &self,
        number: usize,
        incarnation: u64,
    ) -> Result<StandinService, DemoError> {
        StandinService::start(ServiceSettings {
            name: format!("desk-{number}"),
            service: self.plan.service.clone(),
            zone: self.plan.zone(number),
            announce_to: self.caller_addresses(),
            join_secret: JOIN_SECRET.to_owned(),
            incarnation,
            ..self.plan.desk.clone()
        })
        .context(StandinSnafu)
    }

    /// Starts a stopped node again, on the same addresses and data folder.
    pub fn restart_node(&mut self, number: usize) -> Result<(), DemoError> {
        self.nodes[number] = Some(start_node(&self.settings[number])?);
        Ok(())
    }

    /// Stops a node gracefully.
    pub fn stop_node(&mut self, number: usize) {
        if let Some(node) = self.nodes[number].take() {
            node.stop();
        }
    }

    /// Ends a node as if its VM had lost its power.
    pub fn crash_node(&mut self, number: usize) {
        if let Some(node) = self.nodes[number].take() {
            node.crash();
        }
    }

    /// Replaces the data folder of a stopped node by none, as on a VM with a new disk.
    pub fn lose_disk(&self, number: usize) -> Result<(), DemoError> {
        match &self.settings[number].state.data_folder {
            Some(folder) => fs::remove_dir_all(folder).context(FolderSnafu),
            None => Ok(()),
        }
    }

    /// Cuts the links between these nodes and all others.
    pub fn cut_off(&self, numbers: &[usize]) {
        let id = |number: usize| NodeId::from_name(&self.settings[number].node.name);
        for (number, node) in self.nodes.iter().enumerate() {
            let is_inside = numbers.contains(&number);
            let others = (0..self.nodes.len()).filter(|other| numbers.contains(other) != is_inside);
            if let Some(node) = node {
                node.partition_filter().block(others.map(id));
            }
        }
    }

    /// Heals all links.
    pub fn heal(&self) {
        for node in self.nodes.iter().flatten() {
            node.partition_filter().unblock_all();
        }
    }

    /// The number of the node that leads by its own word, as asked at one of the nodes `asked`.
    pub fn leader(&self, asked: &[usize]) -> Option<usize> {
        let operator = self.operator_at(asked);
        let answer = operator.ask("show leader").ok()?;
        let name = answer
            .body
            .get("rows")?
            .get(0)?
            .get("name")?
            .as_str()?
            .to_owned();
        let mut settings = self.settings.iter();
        settings.position(|settings| settings.node.name == name)
    }

    /// `IP:port` of all nodes for callers, running or not.
    pub fn caller_addresses(&self) -> Vec<String> {
        let listen = self.settings.iter().map(|settings| settings.node.listen);
        listen.map(|address| address.to_string()).collect()
    }

    /// An operator who may ask these nodes only.
    pub fn operator_at(&self, numbers: &[usize]) -> OperatorClient {
        let addresses = self.caller_addresses();
        let nodes = numbers.iter().map(|number| addresses[*number].clone());
        OperatorClient {
            nodes: nodes.collect(),
            key: OPERATOR_KEY.to_owned(),
        }
    }

    /// An operator who may ask any node.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient {
            nodes: self.caller_addresses(),
            key: OPERATOR_KEY.to_owned(),
        }
    }

    /// Declares the plan's customers, model and service, and waits until the endpoints are there.
    pub fn declare(&self) -> Result<(), DemoError> {
        let line = self.declaration();
        let operator = self.operator();
        wait_until("the first change", || {
            let answer = operator.change(&line, "declare").ok();
            answer.is_some_and(|answer| answer.status == 200)
        })?;
        let wanted = self.plan.engines + self.plan.services;
        wait_until("all endpoints", || {
            let answer = operator.ask("show endpoints where state = present").ok();
            let rows = answer.and_then(|answer| Some(answer.body.get("rows")?.as_array()?.len()));
            rows == Some(wanted)
        })
    }

    /// One change that declares everything in the plan.
    fn declaration(&self) -> String {
        let FleetPlan { model, service, .. } = &self.plan;
        let version = self.plan.engine.offers.first();
        let version = version.map_or("v1", |offer| &offer.version);
        let engines = self.plan.engines.max(1);
        let rate = self.plan.rate;
        let mut edits = vec![
            format!("add model {model} version {version} replicas 1..{engines} wanted {engines}"),
            format!("add service {service}"),
        ];
        for customer in &self.plan.customers {
            let hash = key_hash(&FleetPlan::key_of(customer));
            edits.push(format!(
                "add customer {customer} rate {rate}/s tokens 1000000/s concurrent 512"
            ));
            edits.push(format!("add key {customer} {hash}"));
            edits.push(format!("allow customer {customer} model {model}"));
            edits.push(format!("allow customer {customer} service {service}"));
        }
        edits.join("; ")
    }

    /// Load settings for this fleet's customers, model and service.
    pub fn load_settings(&self) -> LoadSettings {
        let customer = |name: &String| CustomerLoad {
            name: name.clone(),
            key: FleetPlan::key_of(name),
            weight: 1.0,
        };
        LoadSettings {
            nodes: self.caller_addresses(),
            customers: self.plan.customers.iter().map(customer).collect(),
            model: self.plan.model.clone(),
            service: self.plan.service.clone(),
            ..LoadSettings::default()
        }
    }

    /// Everything that endpoints have run so far.
    pub fn records(&self) -> Vec<RunRecord> {
        let engines = self.engines.iter().flatten();
        let services = self.services.iter().flatten();
        let mut records = self.stopped_records.clone();
        records.extend(engines.flat_map(StandinEngine::records));
        records.extend(services.flat_map(StandinService::records));
        records
    }

    /// Stops everything, endpoints last, and joins all threads.
    pub fn stop(self) {
        // Nodes stop side by side, as they would on their VMs: a member that waits for others
        // while these stop one after the other would lengthen each drain.
        let stops: Vec<_> = self
            .nodes
            .into_iter()
            .flatten()
            .map(|node| thread::spawn(move || node.stop()))
            .collect();
        for stop in stops {
            if stop.join().is_err() {
                tracing::error!("a node's stop panicked");
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

/// Waits for something with a generous bound; the bound decides nothing but how long a broken run
/// takes.
pub fn wait_until(what: &str, mut is_done: impl FnMut() -> bool) -> Result<(), DemoError> {
    let start = Instant::now();
    while !is_done() {
        if start.elapsed() > PATIENCE {
            return Err(DemoError::Late {
                what: what.to_owned(),
                seconds: PATIENCE.as_secs(),
            });
        }
        thread::sleep(LOOK_EVERY);
    }
    Ok(())
}

fn start_node(settings: &ProcessSettings) -> Result<NodeProcess, DemoError> {
    NodeProcess::start(settings.clone()).context(NodeSnafu {
        name: settings.node.name.clone(),
    })
}

/// SHA-256 of a key in hexadecimal.
fn key_hash(key: &str) -> String {
    data_encoding::HEXLOWER.encode(&Sha256::digest(key.as_bytes()))
}

/// Settings of all nodes, with the files they name.
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
    let addresses = free_addresses(plan.nodes).context(FolderSnafu)?;
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

/// Free TCP and UDP addresses on loopback, all different.
///
/// Nodes name each other's addresses in their settings, so these must be known before any starts.
fn free_addresses(count: usize) -> std::io::Result<Vec<(SocketAddr, SocketAddr)>> {
    let mut held = Vec::with_capacity(count);
    for _ in 0..count {
        let tcp = TcpListener::bind(("127.0.0.1", 0))?;
        let udp = UdpSocket::bind(("127.0.0.1", 0))?;
        held.push((tcp, udp));
    }
    let address =
        |(tcp, udp): &(TcpListener, UdpSocket)| Ok((tcp.local_addr()?, udp.local_addr()?));
    held.iter().map(address).collect()
}
