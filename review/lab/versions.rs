//! All processes are killed while one software version replaces another.

use std::{
    collections::BTreeSet,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
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
    client::{HOST, KEY, resolve},
    fleet::{Plan, ZONES, remove},
    http::{read_head, read_line},
    record::{Draw, Record},
    replica::{EVENTS, Replica, ReplicaSetup, Run},
    site::{Site, await_edges, document, put_config},
    wire::name,
};

/// Replicas of the old version, of the new one from an earlier release, and those that the release starts.
const OLD: usize = 7;
const EARLIER: usize = 9;
const NEW: usize = OLD;
const CLIENTS: usize = 200;

/// Time between two steps of the release: one replica of the new version starts, then one of the old
/// version drains.
const RELEASE_GAP: Duration = Duration::from_millis(1000);

/// Time for which a draining replica serves after the acknowledgement: `drainMs` and some seconds.
const SERVES: Duration = Duration::from_millis(6000);

/// Time from the last step of the release to the kill, and from there to the next start.
const KILL_DELAY: Duration = Duration::from_millis(300);
const DOWN_TIME: Duration = Duration::from_millis(700);

/// Time after which a client takes a broken stream up.
const RETRY_DELAY: Duration = Duration::from_millis(2000);
const DEADLINE: Duration = Duration::from_secs(12);

/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;

/// A client's stream, over all its tries.
struct Stream {
    id: String,
    /// Numbers of the events, and the versions that wrote them.
    events: Vec<(u64, String)>,
    /// Status of the second try, if there was one; 0 for none or a broken one.
    taken_up: Option<u16>,
}

pub fn play_case(folder: &Path, has_trouble: bool) -> io::Result<Finding> {
    let plan = Plan::new()?;
    let record = Record::new();
    let found = run(&plan, &record, has_trouble);
    remove(&plan.folder);
    record.write(&folder.join("record.txt"))?;
    found
}

fn run(plan: &Plan, record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let (mut site, mut directory) = Site::start(plan, record)?;
    put_config(&site.controls, record, &document(1, true))?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let release_at = Instant::now() + Duration::from_secs(9);
    let mut threads = Vec::new();
    let mut replicas = Vec::new();
    for number in 1..=OLD {
        let old = start_replica(plan, record, &runs, number, "v1")?;
        let steps_at = release_at + RELEASE_GAP * (number as u32 - 1);
        let (leaving, controls) = (Arc::clone(&old), site.controls.clone());
        threads.push(thread::spawn(move || leave(&leaving, &controls, steps_at)));
        replicas.push(old);
    }
    let new_ends_at = release_at + Duration::from_secs(30);
    for number in OLD + 1..=OLD + EARLIER {
        let earlier = start_replica(plan, record, &runs, number, "v2")?;
        threads.push(beat(&earlier, &site.controls, new_ends_at));
        replicas.push(earlier);
    }
    let first_client = threads.len();
    await_edges(plan.directory(1))?;
    thread::sleep(Duration::from_secs(1));
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    for number in 0..CLIENTS {
        let (record, streams) = (record.clone(), Arc::clone(&streams));
        let (next, is_over) = (Arc::clone(&next), Arc::clone(&is_over));
        let directory = plan.directory(1);
        threads.push(thread::spawn(move || {
            let mut draw = Draw::new(1000 + number as u64);
            let mut edges = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let found = resolve(directory);
                if !found.is_empty() {
                    edges = found;
                }
                if !edges.is_empty() {
                    let stream = read_stream(&record, &edges, &next, &mut draw);
                    streams.lock().unwrap().push(stream);
                }
                thread::sleep(Duration::from_millis(200 + draw.below(200) as u64));
            }
        }));
    }
    // The release.
    for number in 1..=NEW {
        let starts_at = release_at + RELEASE_GAP * (number as u32 - 1);
        let starts_at = starts_at - RELEASE_GAP / 2;
        thread::sleep(starts_at.saturating_duration_since(Instant::now()));
        let new = start_replica(plan, record, &runs, OLD + EARLIER + number, "v2")?;
        threads.push(beat(&new, &site.controls, new_ends_at));
        replicas.push(new);
    }
    let killed_at = release_at + RELEASE_GAP * (NEW as u32 - 1) + KILL_DELAY;
    thread::sleep(killed_at.saturating_duration_since(Instant::now()));
    put_config(&site.controls, record, &document(2, true))?;
    if has_trouble {
        record.add("all processes are killed".to_owned());
        let all = || site.registries.iter().chain(&site.edges);
        for process in all().chain([&directory]) {
            crate::fleet::kill_process(process.id());
        }
        thread::sleep(DOWN_TIME);
        record.add("all processes start again".to_owned());
        let all = site.registries.iter_mut().chain(&mut site.edges);
        for process in all.chain([&mut directory]) {
            process.kill();
            process.start()?;
        }
    }
    thread::sleep(Duration::from_secs(9));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads.drain(first_client..first_client + CLIENTS) {
        thread.join().unwrap();
    }
    for replica in &replicas {
        replica.exit();
    }
    for thread in threads {
        thread.join().unwrap();
    }
    Ok(judge(record, &streams.lock().unwrap()))
}

fn start_replica(
    plan: &Plan,
    record: &Record,
    runs: &Arc<Mutex<Vec<Run>>>,
    number: usize,
    version: &'static str,
) -> io::Result<Arc<Replica>> {
    let setup = ReplicaSetup {
        name: format!("i-{number:04}"),
        service: "tutor",
        version,
        event_gap: Duration::from_millis(100),
        unframed: 0,
        address: plan.replica(number),
        zone: ZONES[number % 3],
        born: 1_700_000_000_000 + number as u64,
        seed: number as u64,
    };
    Ok(Replica::start(setup, record, runs)?.0)
}

/// Reports a replica ready until `until`, in a thread of its own.
fn beat(replica: &Arc<Replica>, controls: &[SocketAddr], until: Instant) -> thread::JoinHandle<()> {
    let (replica, controls) = (Arc::clone(replica), controls.to_vec());
    thread::spawn(move || {
        let home = replica.pick(&controls);
        replica.beat_until(&controls, home, until);
    })
}

/// Reports a replica ready until `leaves_at`, and draining from then on until it exits.
fn leave(replica: &Replica, controls: &[SocketAddr], leaves_at: Instant) {
    let home = replica.pick(controls);
    let home = replica.beat_until(controls, home, leaves_at);
    let home = loop {
        if let Some(home) = replica.drain(controls, home) {
            break home;
        }
    };
    let home = replica.beat_until(controls, home, Instant::now() + SERVES);
    replica.leave(controls, home);
    replica.exit();
}

/// Reads a stream; takes it up once, after a pause, if it breaks off.
fn read_stream(record: &Record, edges: &[SocketAddr], next: &AtomicU64, draw: &mut Draw) -> Stream {
    let started_at = Instant::now();
    let new_id = || format!("r{:06}", next.fetch_add(1, Ordering::SeqCst));
    let id = new_id();
    let mut stream = Stream {
        id: id.clone(),
        events: Vec::new(),
        taken_up: None,
    };
    let edge = edges[draw.below(edges.len())];
    record.add(format!("{id} is sent to {edge}"));
    let first = try_stream(edge, &id, None, DEADLINE, &mut stream.events);
    record.add(format!(
        "{id} has {} events, {first:?}",
        stream.events.len()
    ));
    let last = stream.events.last().map(|(event, _)| *event);
    let Some(last) = last.filter(|last| first.is_err() && *last < EVENTS) else {
        return stream;
    };
    thread::sleep(RETRY_DELAY + Duration::from_millis(draw.below(400) as u64));
    let edge = edges[draw.below(edges.len())];
    let again = new_id();
    record.add(format!(
        "{again} takes {id} up after event {last} at {edge}"
    ));
    let left = DEADLINE.saturating_sub(started_at.elapsed());
    let second = try_stream(edge, &again, Some((&id, last)), left, &mut stream.events);
    record.add(format!(
        "{again} ends {second:?}, {} events",
        stream.events.len()
    ));
    stream.taken_up = Some(second.unwrap_or(0));
    stream
}

/// Sends one try and adds its events; returns the status of a whole answer.
fn try_stream(
    edge: SocketAddr,
    id: &str,
    resumes: Option<(&str, u64)>,
    limit: Duration,
    events: &mut Vec<(u64, String)>,
) -> io::Result<u16> {
    let mut socket = TcpStream::connect_timeout(&edge, Duration::from_secs(1))?;
    socket.set_read_timeout(Some(limit))?;
    let resumes = resumes.map_or_else(String::new, |(first, last)| {
        format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
    });
    let deadline = limit.as_millis();
    let (counts, prefix) = (name("token_counts"), name("prompt_prefix"));
    socket.write_all(
        format!(
            "POST /chat/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {deadline}\r\nAuthorization: Token {KEY}\r\nX-Model: m\r\n\
             {counts}: 830,300\r\n{prefix}: 5c1e:699,91bd3f06:130\r\n{resumes}\
             Connection: close\r\nContent-Length: 2\r\n\r\n{{}}"
        )
        .as_bytes(),
    )?;
    let mut reader = BufReader::new(socket);
    let head = read_head(&mut reader)?;
    if head.status() != 200 {
        return Ok(head.status());
    }
    loop {
        let size = read_line(&mut reader)?;
        if size == "0" {
            return Ok(200);
        }
        // Lines of events stand between those of chunks.
        let mut number = None;
        if let Some(text) = size.strip_prefix("id: ") {
            number = text.parse().ok();
        }
        let Some(number) = number else {
            continue;
        };
        let data = read_line(&mut reader)?;
        let version = data.rsplit(' ').next().unwrap_or_default();
        events.push((number, version.to_owned()));
    }
}

/// Counts the streams that hold events of two versions.
fn judge(record: &Record, streams: &[Stream]) -> Finding {
    let (mut joined, mut taken_up, mut went_on) = (0, 0, 0);
    for stream in streams {
        let versions: BTreeSet<&str> = stream
            .events
            .iter()
            .map(|(_, version)| version.as_str())
            .collect();
        taken_up += usize::from(stream.taken_up.is_some());
        went_on += usize::from(stream.taken_up == Some(200));
        if versions.len() > 1 {
            joined += 1;
            let first = stream.events.iter().find(|(_, version)| version != "v1");
            record.add(format!(
                "JOINED: {} holds events of {versions:?}, the first of another at {first:?}",
                stream.id
            ));
        }
    }
    let text = format!(
        "{joined} streams hold events of two versions; of {} streams {taken_up} were taken up, {went_on} \
         of them to their end",
        streams.len()
    );
    record.add(text.clone());
    match joined > ALLOWED {
        true => Finding::Broken(text),
        false => Finding::Held(text),
    }
}
