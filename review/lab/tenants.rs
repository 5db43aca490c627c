//! A configuration adds a tenant whose name has a letter with an accent.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    client::{HOST, KEY, resolve},
    fleet::{Plan, ZONES, remove},
    http::call,
    record::Record,
    replica::{Replica, ReplicaSetup, Run},
    site::{Site, await_edges, document_with, put_config},
};

/// Names of the added tenant, with trouble and without.
const NAMES: [&str; 2] = ["Ìkòyí", "Ikoyi"];
const ADDED_KEY: &str = "key-of-the-added-school";
const REPLICAS: usize = 3;
const REQUESTS: usize = 40;

/// `configApplyMs` and a second more.
const APPLY_TIME: Duration = Duration::from_millis(3000);

pub fn play_case(folder: &Path, has_trouble: bool) -> io::Result<Finding> {
    let plan = Plan::new()?;
    let record = Record::new();
    let found = run(&plan, &record, NAMES[usize::from(!has_trouble)]);
    remove(&plan.folder);
    record.write(&folder.join("record.txt"))?;
    found
}

fn run(plan: &Plan, record: &Record, name: &str) -> io::Result<Finding> {
    let (site, _directory) = Site::start(plan, record)?;
    let school = format!("{{\"name\":\"school\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}");
    put_config(&site.controls, record, &document_with(1, &school))?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut replicas = Vec::new();
    let mut threads = Vec::new();
    let until = Instant::now() + Duration::from_secs(25);
    for number in 1..=REPLICAS {
        let setup = ReplicaSetup {
            name: format!("i-{number:04}"),
            service: "tutor",
            address: plan.replica(number),
            zone: ZONES[number % 3],
            born: 1_700_000_000_000 + number as u64,
            seed: number as u64,
        };
        let (replica, _) = Replica::start(setup, record, &runs)?;
        let (beating, controls) = (Arc::clone(&replica), site.controls.clone());
        threads.push(thread::spawn(move || {
            let home = beating.pick(&controls);
            beating.beat_until(&controls, home, until);
        }));
        replicas.push(replica);
    }
    await_edges(plan.directory(1))?;
    thread::sleep(Duration::from_secs(3));
    let added = format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{ADDED_KEY}\"],\"priority\":1}}");
    put_config(
        &site.controls,
        record,
        &document_with(2, &format!("{school},{added}")),
    )?;
    thread::sleep(APPLY_TIME);
    let edges = resolve(plan.directory(1));
    let mut served = 0;
    for number in 0..REQUESTS {
        let (key, kind) = match number % 2 {
            0 => (ADDED_KEY, "added"),
            _ => (KEY, "school"),
        };
        let id = format!("{kind}-{number:02}");
        let edge = edges[number % edges.len()];
        record.add(format!("{id} is sent to {edge}"));
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "10000"),
            ("Authorization", &format!("Token {key}")),
            ("X-Model", "m"),
            ("X-Token-Counts", "830,300"),
            ("X-Prompt-Prefix", "5c1e07a2:699,91bd3f06:130"),
        ];
        let line = format!("POST /chat/{id}");
        let answer = call(edge, &line, &headers, b"{}", Duration::from_secs(10));
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!("{id} is answered with {status}"));
        served += usize::from(status == 200);
        if Instant::now() > until {
            break;
        }
    }
    for replica in &replicas {
        replica.exit();
    }
    for thread in threads {
        thread.join().unwrap();
    }
    Ok(judge(record, name, &runs.lock().unwrap(), served))
}

/// Finds requests that a replica ran with another tenant than that which holds the key, or none. How
/// the name is written in the header doesn't matter.
fn judge(record: &Record, name: &str, runs: &[Run], served: usize) -> Finding {
    let mut wrong = 0;
    for run in runs {
        let is_added = run.id.starts_with("added");
        let is_right = match run.tenant.as_deref() {
            None | Some("") => false,
            Some(tenant) => (tenant == "school") != is_added,
        };
        if !is_right {
            wrong += 1;
            record.add(format!(
                "WRONG: {} ran at {} with the tenant {:?}, its key is that of {}",
                run.id,
                run.replica,
                run.tenant,
                if is_added { name } else { "school" }
            ));
        }
    }
    let text = format!(
        "{wrong} of {} requests ran with another tenant than that of their key, or none; {served} served",
        runs.len()
    );
    record.add(text.clone());
    match wrong {
        0 => Finding::Held(text),
        _ => Finding::Broken(text),
    }
}
