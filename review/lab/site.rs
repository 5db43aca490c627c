//! A small site under load, two of whose replicas leave beside some trouble.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    client::{ClientPlan, HOST, KEY, Sent, resolve, run_client},
    fleet::{Plan, Process, ZONES, remove},
    http::call,
    record::Record,
    replica::{Replica, ReplicaSetup, Run},
    wire::{CONFIG, fill},
};

const REGISTRIES: usize = 5;
const EDGES: usize = 8;
const REPLICAS: usize = 16;
/// Replicas that leave, an eighth of them.
pub const LEAVERS: usize = 2;
const CLIENTS: usize = 200;

/// `drainMs` and `contactMs` in seconds.
const DRAIN_S: f64 = 2.0;
const CONTACT_S: f64 = 3.0;

/// Time from the start of the replicas to the first goodbye.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Time for which a leaving replica serves after the acknowledgement: `drainMs` and some seconds.
const SERVES: Duration = Duration::from_millis(7500);

/// What was done to the machines.
#[derive(Default)]
pub struct TroubleLog {
    /// When each edge was last started, by its address.
    pub edges_started: HashMap<IpAddr, f64>,
    /// When a core machine was last stopped or started.
    pub core_disturbed: f64,
}

/// A site whose processes run.
pub struct Site {
    pub registries: Vec<Process>,
    pub edges: Vec<Process>,
    pub controls: Vec<SocketAddr>,
    pub record: Record,
    pub log: TroubleLog,
    /// When the first replica says that it leaves.
    pub leaves_at: Instant,
}

impl Site {
    /// Starts all processes; the second value is the directory.
    pub fn start(plan: &Plan, record: &Record) -> io::Result<(Self, Process)> {
        let make = |role: &'static str, count: usize| -> io::Result<Vec<Process>> {
            let numbers = 1..=count;
            numbers
                .map(|number| plan.process(role, number, REGISTRIES))
                .collect()
        };
        let (registries, edges) = (make("registry", REGISTRIES)?, make("edge", EDGES)?);
        let mut directory = plan.process("directory", 1, REGISTRIES)?;
        let mut site = Self {
            log: TroubleLog {
                edges_started: edges.iter().map(|edge| (edge.ip, 0.0)).collect(),
                core_disturbed: 0.0,
            },
            registries,
            edges,
            controls: (1..=REGISTRIES)
                .map(|number| plan.control(number))
                .collect(),
            record: record.clone(),
            leaves_at: Instant::now(),
        };
        for process in site.registries.iter_mut().chain(&mut site.edges) {
            process.start()?;
        }
        directory.start()?;
        Ok((site, directory))
    }
}

/// Waits until the directory names all edges.
pub fn await_edges(directory: SocketAddr) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(9);
    while resolve(directory).len() < EDGES {
        if Instant::now() > until {
            return Err(io::Error::other("the edges do not become ready"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// How one replica that leaves does so, and the trouble beside it.
pub struct Departure {
    /// Time between the goodbyes.
    pub gap: Duration,
    /// Index of the registry that hears from a replica first, of those that leave.
    pub home: fn(&Replica, &[SocketAddr]) -> usize,
    /// Index of the registry that is told of the goodbye, from that of the last heartbeat.
    pub told: fn(&Replica, &[SocketAddr], usize) -> usize,
    /// Called when a goodbye is acknowledged, with the number of those before and the registry.
    pub on_ack: Box<dyn Fn(usize, usize) + Send + Sync>,
}

/// A version of the site's configuration, whose streams are resumable or not.
pub fn document(version: u64, is_resumable: bool) -> String {
    let fields = [
        ("version", version.to_string()),
        ("host", HOST.to_owned()),
        ("key", KEY.to_owned()),
        ("resumable", is_resumable.to_string()),
        ("attempts", if is_resumable { "2" } else { "1" }.to_owned()),
    ];
    fill(
        CONFIG,
        &fields
            .each_ref()
            .map(|(name, value)| (*name, value.as_str())),
    )
}

/// Plays a departure; `trouble` runs beside it, and is given the site.
pub fn play(
    folder: &Path,
    departure: Departure,
    trouble: impl FnOnce(&mut Site) -> io::Result<()>,
) -> io::Result<Finding> {
    let plan = Plan::new()?;
    let record = Record::new();
    let found = run(&plan, &record, departure, trouble);
    remove(&plan.folder);
    record.write(&folder.join("record.txt"))?;
    found
}

fn run(
    plan: &Plan,
    record: &Record,
    departure: Departure,
    trouble: impl FnOnce(&mut Site) -> io::Result<()>,
) -> io::Result<Finding> {
    let (mut site, _directory) = Site::start(plan, record)?;
    put_config(&site.controls, record, &document(1, false))?;

    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let setup = ReplicaSetup {
            name: format!("i-{number:04}"),
            service: "tutor",
            version: "v1",
            event_gap: Duration::from_millis(35),
            unframed: 0,
            address: plan.replica(number),
            zone: ZONES[number % 3],
            born: 1_700_000_000_000 + number as u64,
            seed: number as u64,
        };
        replicas.push(Replica::start(setup, record, &runs)?.0);
    }
    site.leaves_at = Instant::now() + SETTLE_TIME;
    let leaves_at = site.leaves_at;
    let acks: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let gap = departure.gap;
    let departure = Arc::new(departure);
    let mut threads = Vec::new();
    for (index, replica) in replicas.iter().enumerate() {
        let (replica, controls) = (Arc::clone(replica), site.controls.clone());
        let (record, acks) = (record.clone(), Arc::clone(&acks));
        let departure = Arc::clone(&departure);
        threads.push(thread::spawn(move || {
            if index >= LEAVERS {
                let home = replica.pick(&controls);
                replica.beat_until(&controls, home, leaves_at + Duration::from_secs(30));
                return;
            }
            let first = (departure.home)(&replica, &controls);
            let until = leaves_at + departure.gap * index as u32;
            let home = replica.beat_until(&controls, first, until);
            let told = (departure.told)(&replica, &controls, home);
            let registry = loop {
                if let Some(registry) = replica.leave(&controls, told) {
                    break registry;
                }
            };
            let (at, before) = {
                let mut acks = acks.lock().unwrap();
                (departure.on_ack)(acks.len(), registry);
                let at = record.add(format!("{} has said that it leaves", replica.name));
                acks.insert(replica.name.clone(), at);
                (at, acks.len() - 1)
            };
            record.add(format!("goodbye {before} was acknowledged at {at:.3}"));
            thread::sleep(SERVES);
            replica.exit();
        }));
    }

    await_edges(plan.directory(1))?;
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let client = ClientPlan {
            directory: plan.directory(1),
            line: "POST /chat/",
            deadline: Duration::from_millis(10_000),
            pause: Duration::from_millis(400),
            seed: 1000 + number as u64,
        };
        let (record, sent) = (record.clone(), Arc::clone(&sent));
        let (next, is_over) = (Arc::clone(&next), Arc::clone(&is_over));
        clients.push(thread::spawn(move || {
            run_client(&client, &record, &sent, &next, &is_over);
        }));
    }

    trouble(&mut site)?;
    let ends_at = leaves_at + gap * LEAVERS as u32 + SERVES + Duration::from_secs(1);
    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    for replica in &replicas[LEAVERS..] {
        replica.exit();
    }
    for thread in threads {
        thread.join().unwrap();
    }
    for process in site.registries.iter_mut().chain(&mut site.edges) {
        if !process.is_running() {
            return Err(io::Error::other(format!("{} has ended", process.name)));
        }
    }
    let (runs, sent) = (runs.lock().unwrap(), sent.lock().unwrap());
    Ok(judge(
        record,
        &site.log,
        &acks.lock().unwrap(),
        &runs,
        &sent,
    ))
}

/// Sends a configuration until it is acknowledged.
pub fn put_config(controls: &[SocketAddr], record: &Record, document: &str) -> io::Result<()> {
    for attempt in 0..40 {
        let control = controls[attempt % controls.len()];
        let headers = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let answer = call(control, "PUT /config", &headers, document.as_bytes(), limit);
        if answer.is_ok_and(|answer| answer.status() == 200) {
            record.add("a configuration is acknowledged".to_owned());
            return Ok(());
        }
        thread::sleep(Duration::from_millis(250));
    }
    Err(io::Error::other("no registry takes the configuration"))
}

/// Finds requests that reached a replica later than `drainMs` after the acknowledgement, taken and
/// sent on by an edge that had run for `contactMs`, and while the core had been stable for as long.
fn judge(
    record: &Record,
    log: &TroubleLog,
    acks: &HashMap<String, f64>,
    runs: &[Run],
    sent: &[Sent],
) -> Finding {
    let by_id: HashMap<&str, &Sent> = sent.iter().map(|one| (one.id.as_str(), one)).collect();
    let (mut late, mut lost) = (0, 0);
    for run in runs {
        let Some(acked_at) = acks.get(&run.replica) else {
            continue;
        };
        let Some(request) = by_id.get(run.id.as_str()) else {
            continue;
        };
        let in_touch = |ip: IpAddr, at: f64| {
            let started_at = log.edges_started.get(&ip);
            started_at.is_some_and(|since| at >= since.max(log.core_disturbed) + CONTACT_S)
        };
        if run.at <= acked_at + DRAIN_S
            || !in_touch(request.edge.ip(), request.at)
            || !in_touch(run.from, request.at)
        {
            continue;
        }
        late += 1;
        let after = run.at - acked_at;
        let is_lost = !run.is_answered && request.status != 200;
        lost += usize::from(is_lost);
        record.add(format!(
            "LATE: {} reached {} {after:.3} s after the acknowledgement, by way of {}; its client got {}",
            run.id, run.replica, run.from, request.status
        ));
    }
    let served = sent.iter().filter(|one| one.status == 200).count();
    let text = format!(
        "{late} requests reached replicas that had left, later than drainMs; {lost} of them were cut \
         and lost; {served} of {} served",
        sent.len()
    );
    record.add(text.clone());
    match late {
        0 => Finding::Held(text),
        _ => Finding::Broken(text),
    }
}
