//! Replicas leave while edges are restarted in turn.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    client::{ClientPlan, HOST, KEY, resolve, run_client},
    fleet::{Plan, Process, SIGTERM, ZONES, remove},
    http::call,
    record::Record,
    replica::{Replica, ReplicaSetup},
};

const REGISTRIES: usize = 5;
const EDGES: usize = 8;
const REPLICAS: usize = 16;
/// Replicas that leave, an eighth of them.
const LEAVERS: usize = 2;
const LEAVE_GAP: Duration = Duration::from_millis(1000);
/// Edges that are restarted in turn, half of them.
const RESTARTED: usize = 4;
const RESTART_GAP: Duration = Duration::from_millis(1000);
const CLIENTS: usize = 200;

/// `drainMs` and `contactMs` in seconds.
const DRAIN_S: f64 = 2.0;
const CONTACT_S: f64 = 3.0;

/// Time for which a leaving replica serves after the acknowledgement: `drainMs` and some seconds.
const SERVES: Duration = Duration::from_millis(7500);

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"chat\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":10000,\
         \"targetLatencyMs\":600,\"priority\":1,\"service\":\"tutor\",\"maxAttempts\":1,\
         \"anonymous\":false,\"sticky\":true,\"resumable\":false,\"targetGapMs\":200}}],\
         \"services\":[{{\"name\":\"tutor\",\"healthPath\":\"/healthz\",\"maxConns\":300,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\"kvCapacity\":739698,\
         \"kvTokenBytes\":35136,\"linkMbps\":1100000.0,\"moves\":false,\"backups\":false,\
         \"stride\":7,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"school\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Finding> {
    let plan = Plan::new()?;
    let record = Record::new();
    let found = run(&plan, &record, has_trouble);
    remove(&plan.folder);
    record.write(&folder.join("record.txt"))?;
    found
}

fn run(plan: &Plan, record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let make = |role: &'static str, count: usize| -> io::Result<Vec<Process>> {
        let numbers = 1..=count;
        numbers
            .map(|number| plan.process(role, number, REGISTRIES))
            .collect()
    };
    let mut registries = make("registry", REGISTRIES)?;
    let mut edges = make("edge", EDGES)?;
    let mut directories = make("directory", 1)?;
    for process in registries
        .iter_mut()
        .chain(&mut edges)
        .chain(&mut directories)
    {
        process.start()?;
    }
    let mut started: HashMap<IpAddr, f64> = edges.iter().map(|edge| (edge.ip, 0.0)).collect();
    let controls: Vec<SocketAddr> = (1..=REGISTRIES)
        .map(|number| plan.control(number))
        .collect();
    put_config(&controls, record)?;

    let runs = Arc::default();
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let setup = ReplicaSetup {
            name: format!("i-{number:04}"),
            service: "tutor",
            address: plan.replica(number),
            zone: ZONES[number % 3],
            born: 1_700_000_000_000 + number as u64,
            seed: number as u64,
        };
        replicas.push(Replica::start(setup, record, &runs)?.0);
    }

    // Traffic starts some seconds after the machines do; replicas leave from `leaves_at` on.
    let leaves_at = Instant::now() + Duration::from_secs(12);
    let acks: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let mut threads = Vec::new();
    for (index, replica) in replicas.iter().enumerate() {
        let (replica, controls) = (Arc::clone(replica), controls.clone());
        let (record, acks) = (record.clone(), Arc::clone(&acks));
        threads.push(thread::spawn(move || {
            if index >= LEAVERS {
                replica.beat_until(&controls, leaves_at + Duration::from_secs(20));
                return;
            }
            replica.beat_until(&controls, leaves_at + LEAVE_GAP * index as u32);
            while replica.leave(&controls).is_none() {}
            let at = record.add(format!("{} has said that it leaves", replica.name));
            acks.lock().unwrap().insert(replica.name.clone(), at);
            thread::sleep(SERVES);
            replica.exit();
        }));
    }

    let until = Instant::now() + Duration::from_secs(10);
    while resolve(plan.directory(1)).len() < EDGES {
        if Instant::now() > until {
            return Err(io::Error::other("the edges do not become ready"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::default();
    let mut clients = Vec::new();
    let next = Arc::new(AtomicU64::new(0));
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

    if has_trouble {
        // The first restarts begin some seconds before the first replica leaves, since an edge
        // drains before it ends.
        let first = leaves_at - Duration::from_millis(3200);
        let mut restarts = Vec::new();
        for (index, mut edge) in edges.drain(..RESTARTED).enumerate() {
            let at = first + RESTART_GAP * index as u32;
            let record = record.clone();
            restarts.push(thread::spawn(move || -> io::Result<(Process, f64)> {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                record.add(format!("{} gets SIGTERM", edge.name));
                edge.signal(SIGTERM);
                edge.wait(Duration::from_secs(8));
                thread::sleep(Duration::from_millis(200));
                let started_at = record.add(format!("{} ({}) starts again", edge.name, edge.ip));
                edge.start()?;
                Ok((edge, started_at))
            }));
        }
        for restart in restarts {
            let (edge, at) = restart.join().unwrap()?;
            started.insert(edge.ip, at);
            edges.push(edge);
        }
    }
    let ends_at = leaves_at + LEAVE_GAP * LEAVERS as u32 + SERVES + Duration::from_secs(1);
    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    is_over.store(true, std::sync::atomic::Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    for replica in &replicas[LEAVERS..] {
        replica.exit();
    }
    for thread in threads {
        thread.join().unwrap();
    }
    let ended = registries.iter_mut().chain(&mut edges);
    if let Some(process) = ended
        .filter_map(|one| (!one.is_running()).then_some(&one.name))
        .next()
    {
        return Err(io::Error::other(format!("{process} has ended")));
    }
    Ok(judge(record, &started, &acks.lock().unwrap(), &runs, &sent))
}

fn put_config(controls: &[SocketAddr], record: &Record) -> io::Result<()> {
    for attempt in 0..40 {
        let control = controls[attempt % controls.len()];
        let headers = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let answer = call(
            control,
            "PUT /config",
            &headers,
            document().as_bytes(),
            limit,
        );
        if answer.is_ok_and(|answer| answer.status() == 200) {
            record.add("configuration 1 is acknowledged".to_owned());
            return Ok(());
        }
        thread::sleep(Duration::from_millis(250));
    }
    Err(io::Error::other("no registry takes the configuration"))
}

/// Finds requests that reached a replica later than `drainMs` after the acknowledgement, taken and
/// sent on by an edge that had run for `contactMs`.
fn judge(
    record: &Record,
    started: &HashMap<IpAddr, f64>,
    acks: &HashMap<String, f64>,
    runs: &Mutex<Vec<crate::replica::Run>>,
    sent: &Mutex<Vec<crate::client::Sent>>,
) -> Finding {
    let sent = sent.lock().unwrap();
    let by_id: HashMap<&str, &crate::client::Sent> =
        sent.iter().map(|one| (one.id.as_str(), one)).collect();
    let (mut late, mut lost) = (0, 0);
    for run in runs.lock().unwrap().iter() {
        let Some(acked_at) = acks.get(&run.replica) else {
            continue;
        };
        let Some(request) = by_id.get(run.id.as_str()) else {
            continue;
        };
        let in_touch = |ip: IpAddr, at: f64| {
            started
                .get(&ip)
                .is_some_and(|since| at >= since + CONTACT_S)
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
