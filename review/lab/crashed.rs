//! Replicas whose answers end with their connections crash.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    client::{ClientPlan, Sent, run_client},
    fleet::{Plan, ZONES, remove},
    record::{Record, unix_ms},
    replica::{EVENTS, Replica, ReplicaSetup},
    site::{Site, await_edges, document, put_config},
};

const REPLICAS: usize = 6;
const CLIENTS: usize = 280;

/// How many of a hundred answers end with their connections: the site's share of `garble`.
const UNFRAMED: usize = 5;

/// Crashes, each of one replica of six, and the time from one to the next.
const CRASHES: usize = 8;
const CRASH_GAP: Duration = Duration::from_secs(4);

/// Time after which a crashed replica is back, under a new name.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// A replica as a process of its own, so that the system closes its sockets when it is killed.
struct ReplicaProcess {
    child: Child,
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl ReplicaProcess {
    fn start(
        plan: &Plan,
        base: u64,
        (number, start): (usize, usize),
        controls: &[SocketAddr],
    ) -> io::Result<Self> {
        let name = format!("i-{number:02}{start:02}");
        let controls: Vec<String> = controls.iter().map(SocketAddr::to_string).collect();
        let child = Command::new(std::env::current_exe()?)
            .args(["replica", &name, &plan.replica(number).to_string()])
            .args([ZONES[number % 3], &controls.join(","), &base.to_string()])
            .stdin(Stdio::null())
            .stdout(File::create(output_of(plan, &name))?)
            .spawn()?;
        Ok(Self { child })
    }
}

fn output_of(plan: &Plan, name: &str) -> PathBuf {
    plan.folder.join(format!("replica-{name}.log"))
}

/// Runs a replica until it is killed.
pub fn run_replica(words: &[String]) -> io::Result<()> {
    let [name, address, zone, controls, base] = words else {
        return Err(io::Error::other("wrong arguments"));
    };
    let parse = |text: &str| text.parse().map_err(io::Error::other);
    let controls = controls.split(',').map(parse);
    let controls: Vec<SocketAddr> = controls.collect::<io::Result<_>>()?;
    let record = Record::printing(base.parse().map_err(io::Error::other)?);
    let setup = ReplicaSetup {
        name: name.clone(),
        service: "tutor",
        version: "v1",
        event_gap: Duration::from_millis(35),
        unframed: UNFRAMED,
        address: parse(address)?,
        zone: ZONES
            .into_iter()
            .find(|known| known == zone)
            .unwrap_or(ZONES[0]),
        born: unix_ms(),
        seed: unix_ms(),
    };
    let (replica, _) = Replica::start(setup, &record, &Arc::default())?;
    let home = replica.pick(&controls);
    replica.beat_until(&controls, home, Instant::now() + Duration::from_secs(120));
    Ok(())
}

pub fn play_case(folder: &Path, has_trouble: bool) -> io::Result<Finding> {
    let plan = Plan::new()?;
    let record = Record::new();
    let base = unix_ms();
    let found = run(&plan, &record, base, has_trouble);
    for item in fs::read_dir(&plan.folder)? {
        let path = item?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        if name.is_some_and(|name| name.starts_with("replica-")) {
            record.merge(&fs::read_to_string(&path).unwrap_or_default());
        }
    }
    remove(&plan.folder);
    record.write(&folder.join("record.txt"))?;
    found
}

fn run(plan: &Plan, record: &Record, base: u64, has_trouble: bool) -> io::Result<Finding> {
    let (site, _directory) = Site::start(plan, record)?;
    put_config(&site.controls, record, &document(1, false))?;
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        replicas.push(ReplicaProcess::start(
            plan,
            base,
            (number, 0),
            &site.controls,
        )?);
    }
    await_edges(plan.directory(1))?;
    thread::sleep(Duration::from_secs(3));
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
    for crash in 0..CRASHES {
        thread::sleep(CRASH_GAP - DOWN_TIME);
        if has_trouble {
            let index = crash % REPLICAS;
            record.add(format!("replica {} crashes", index + 1));
            replicas[index].child.kill()?;
        }
        thread::sleep(DOWN_TIME);
        if has_trouble {
            let index = crash % REPLICAS;
            replicas[index] =
                ReplicaProcess::start(plan, base, (index + 1, crash + 1), &site.controls)?;
        }
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap();
    }
    drop(replicas);
    Ok(judge(record, &sent.lock().unwrap()))
}

/// Counts the answers that looked whole to their clients and lack events.
fn judge(record: &Record, sent: &[Sent]) -> Finding {
    let whole = sent.iter().filter(|one| one.status == 200);
    let short = whole.clone().filter(|one| one.events as u64 != EVENTS);
    for one in short.clone() {
        record.add(format!(
            "SHORT: {} was sent to {} at {:.3} and looks whole with {} events",
            one.id, one.edge, one.at, one.events
        ));
    }
    let broken = sent.iter().filter(|one| one.status == 0);
    let text = format!(
        "{} answers lack events and look whole; of {} streams {} are whole and {} broke off",
        short.clone().count(),
        sent.len(),
        whole.count() - short.clone().count(),
        broken.count()
    );
    record.add(text.clone());
    match short.count() {
        0 => Finding::Held(text),
        _ => Finding::Broken(text),
    }
}
