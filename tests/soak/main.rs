//! Randomized soak test of the real programs as separate processes, with faults injected from
//! outside.
//!
//! CI runs one seed and the regression seeds, briefly. To run new seeds for longer:
//! `SOAK_SEED=100 SOAK_SEEDS=50 SOAK_SECONDS=30 cargo test --release --test soak -- --nocapture`.
//! The logs of a failed run are kept; the name of their folder is printed.

#[allow(dead_code, reason = "the tests in `whole_path` use more of it")]
#[path = "../../platform/tests/whole_path/caller.rs"]
mod caller;
mod deadly_parts;
#[path = "../../platform/tests/whole_path/document.rs"]
mod document;
mod frail_pool;
mod goodbyes;
mod group_recovery;
mod keep_alive_client;
mod kept_connection;
mod loss_play;
mod lost_disks;
mod planned_changes;
mod power_losses;
mod processes;
mod proxy;
#[allow(dead_code, reason = "the tests in `whole_path` use more of it")]
#[path = "../../platform/tests/whole_path/replica.rs"]
mod replica;
mod resumed_streams;
mod scarce_service;
mod slow_clients;

use std::{
    env,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use caller::send;
use deadly_parts::FIRST_PART;
use document::{
    announcement,
    open_document,
    prompt_header,
    version_of, //
};
use frail_pool::FrailPool;
use keep_alive_client::{
    KeepAliveClient,
    RequestOutcome, //
};
use processes::{
    SoakProcess,
    make_processes, //
};
use proxy::{
    ProxyMode,
    SoakProxy, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use replica::{
    CutKind,
    EVENTS,
    Replica, //
};
use resumed_streams::ResumeCounts;
use rustix::process::Signal;
use scarce_service::ScarceService;

/// Clients that take streams up again.
const STREAM_READERS: u64 = 4;

/// Distance of the random seeds of these clients, so that they differ from those of other seeds.
const READER_SEED_STEP: u64 = 1_000_000_000;

/// Time limit for the fleet to serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the last fault in which all processes have heard from each other.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Sends of one request that may reach replicas after it has crashed three and the fleet is in
/// contact.
const ALLOWED_RETRIES: usize = 3;

/// Interval between two requests that crash replicas and have different contents.
const POISON_INTERVAL: Duration = Duration::from_secs(4);

/// Time of rest that replicas ask for.
const REST: Duration = Duration::from_millis(1500);

/// Rejections in a second that a brittle replica bears.
const BORNE_REJECTIONS: u64 = 4;

/// Time for which replicas are brittle.
const BRITTLE_TIME: Duration = Duration::from_millis(2500);

/// Brittle replicas that may fall over in one such time.
const ALLOWED_FALLS: usize = 2;

/// Time from the first answer that says that a replica leaves to its end.
const LEAVING_TIME: Duration = Duration::from_millis(4500);

/// Most requests that were cut beside a crash and are repeated at the end.
const MAX_CUT_REQUESTS: usize = 40;

/// Seeds of runs that failed, with the cause.
///
/// Runs of real processes are not reproducible exactly, so each cause also has a test of its own.
const REGRESSION_SEEDS: [u64; 2] = [
    // An edge dropped all endpoints when the registry with the latest report on them no longer
    // received their announcements, although another registry still did.
    4102, 4103,
];

/// State shared by the threads of one run.
struct SoakRun {
    is_finished: AtomicBool,
    /// Set after the last fault.
    are_faults_over: AtomicBool,
    edges: Vec<SocketAddr>,
    registries: Vec<SocketAddr>,
    replicas: [Replica; 2],
    /// Proxy in front of each replica; its address is the announced one.
    replica_proxies: Vec<SoakProxy>,
    /// Replicas of another service, which crash under some requests.
    frail_pool: FrailPool,
    /// A service with fewer slots than there are edges.
    scarce: ScarceService,
    /// Streams that were taken up again.
    resume_counts: ResumeCounts,
    /// Requests for the crashing replicas that were cut.
    cut_paths: Mutex<Vec<String>>,
    /// Twice the number of times that each edge was killed, and one more while it is being killed.
    edge_kills: Vec<AtomicU64>,
    /// Edges that were killed, stopped or suspended, from when and until when.
    disturbances: Mutex<Vec<(usize, Instant, Instant)>>,
    /// When all processes were last started together.
    power_lost_at: Mutex<Instant>,
    /// Held during a network fault, and while no network fault may be injected.
    network_lock: Mutex<()>,
    /// Paths of requests that must run at most once and were answered as not run.
    refused_paths: Mutex<Vec<String>>,
    /// Highest configuration version that a registry has acknowledged.
    accepted_version: AtomicU64,
    next_request: AtomicU64,
    served: AtomicU64,
    /// Violated guarantees.
    violations: Mutex<Vec<String>>,
}

impl SoakRun {
    /// Records a violated guarantee.
    fn record(&self, text: String) {
        println!("violation: {text}");
        self.violations
            .lock()
            .expect("thread panicked while holding the lock")
            .push(text);
    }

    /// Number of times that the request for `path` has run on any replica.
    fn runs(&self, path: &str) -> usize {
        let replicas = self.replicas.iter().chain([&self.scarce.replica]);
        replicas.map(|replica| replica.runs(path)).sum()
    }

    /// Sends one random request to a random edge and checks the answer.
    ///
    /// Each request has its own id and path, so that its runs can be counted.
    fn send_request(&self, rng: &mut Pcg64Mcg) {
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let (kind, action) = [
            ("safe", "ok"),
            ("safe", "crossed"),
            ("unsafe", "ok"),
            ("unsafe", "lost"),
            ("unsafe", "short"),
            ("resumable", "breaking"),
            ("once", "stream"),
        ][rng.random_range(0..7)];
        let path = format!("/{kind}/{request}/{action}");
        let edge = self.edges[rng.random_range(0..self.edges.len())];
        let id = format!("call-{request}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
        let answer = send(edge, &format!("POST {path}"), &headers, b"words");
        if answer.status == 200 && answer.is_whole {
            self.served.fetch_add(1, Ordering::SeqCst);
            self.check_body(kind, &path, &answer.text());
        }
        let is_once = kind == "unsafe" || kind == "once";
        let runs = self.runs(&path);
        if is_once && runs > 1 {
            self.record(format!("{path} ran {runs} times"));
        }
        if is_once && answer.status == 503 && answer.is_whole {
            let mut refused_paths = self
                .refused_paths
                .lock()
                .expect("thread panicked while holding the lock");
            refused_paths.push(path);
        }
    }

    /// Sends one request on a connection that is kept open.
    ///
    /// Only a kill of the edge may end the connection before the answer.
    fn send_on_kept_connection(&self, edge: usize, client: &mut KeepAliveClient) {
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let path = format!("/safe/{request}/ok");
        let kills = || self.edge_kills[edge].load(Ordering::SeqCst);
        let kills_before = kills();
        let outcome = client.send(self.edges[edge], &path, &format!("call-{request}"));
        // A request whose connection was closed before it was forwarded can safely be sent again.
        let was_forwarded = || {
            let arrivals = self.replicas.iter().map(|replica| replica.arrivals(&path));
            arrivals.flatten().next().is_some()
        };
        let was_killed = || kills_before != kills() || !kills_before.is_multiple_of(2);
        if outcome == RequestOutcome::Disconnected && !was_killed() && was_forwarded() {
            self.record(format!(
                "the kept connection to edge {edge} was closed during {path}"
            ));
        }
    }

    /// Sends a request for the service `frail` to an edge, under an id of its own; returns the status
    /// of a complete answer.
    fn send_frail(&self, edge: usize, path: &str) -> Option<u16> {
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let id = format!("frail-{request}");
        let via = edge.to_string();
        let own_part = format!("{request:x}");
        let (prompt, parts) = prompt_header(&[FIRST_PART, &own_part]);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "3000"),
            (prompt, parts.as_str()),
            ("X-Via", via.as_str()),
        ];
        let answer = send(
            self.edges[edge],
            &format!("POST {path}"),
            &headers,
            b"words",
        );
        answer.is_whole.then_some(answer.status)
    }

    /// Repeats a request that crashes replicas, at random edges and with another content from time
    /// to time, until the last fault is over.
    fn send_poison(&self, rng: &mut Pcg64Mcg) {
        let started_at = Instant::now();
        while !self.are_faults_over.load(Ordering::SeqCst) {
            let edge = rng.random_range(0..self.edges.len());
            let number = started_at.elapsed().as_millis() / POISON_INTERVAL.as_millis();
            self.send_frail(edge, &format!("/frail/{number}/crash"));
            thread::sleep(Duration::from_millis(rng.random_range(50..250)));
            self.frail_pool.restart_crashed();
        }
    }

    /// Sends one request to the replicas that crash, and notes it if it is cut.
    fn send_beside_poison(&self, rng: &mut Pcg64Mcg) {
        let edge = rng.random_range(0..self.edges.len());
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let path = format!("/frail/{request}/stream");
        if self.send_frail(edge, &path) != Some(200) {
            let mut cut_paths = self.cut_paths.lock().expect("a thread panicked");
            if cut_paths.len() < MAX_CUT_REQUESTS {
                cut_paths.push(path);
            }
        }
    }

    /// Lets replicas ask for rest or leave, in turn, until the last fault is over.
    fn change_frail(&self, rng: &mut Pcg64Mcg) {
        while !self.are_faults_over.load(Ordering::SeqCst) {
            match rng.random_range(0..4) {
                0 => self.frail_pool.leave_after(LEAVING_TIME, rng),
                1 => {
                    let fallen = self.frail_pool.be_brittle(BORNE_REJECTIONS, BRITTLE_TIME);
                    if fallen > ALLOWED_FALLS {
                        self.record(format!("{fallen} brittle replicas fell over"));
                    }
                }
                _ => self.frail_pool.rest_for(REST, REST * 2, rng),
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..500)));
        }
    }

    /// Cuts random edges off from all replicas for a while, until the last fault is over.
    fn cut_edges(&self, rng: &mut Pcg64Mcg) {
        while !self.are_faults_over.load(Ordering::SeqCst) {
            let edge = rng.random_range(0..self.edges.len());
            let kinds = [
                CutKind::Silent,
                CutKind::Reset,
                CutKind::NewReset,
                CutKind::OldSilent,
            ];
            let kind = kinds[rng.random_range(0..kinds.len())];
            let source = self.edges[edge].ip();
            self.disturb_edge(edge, || {
                self.frail_pool.start_cut(kind, source);
                for proxy in self
                    .replica_proxies
                    .iter()
                    .filter(|_| kind == CutKind::Silent)
                {
                    proxy.cut_peer(Some(source));
                }
                thread::sleep(Duration::from_millis(rng.random_range(500..5000)));
                self.frail_pool.end_cut();
                for proxy in &self.replica_proxies {
                    proxy.cut_peer(None);
                }
            });
            thread::sleep(Duration::from_millis(rng.random_range(0..2000)));
        }
    }

    /// Records that an edge is disturbed while `disturb` runs.
    fn disturb_edge(&self, edge: usize, disturb: impl FnOnce()) {
        let started_at = Instant::now();
        disturb();
        let mut disturbances = self.disturbances.lock().expect("a thread panicked");
        disturbances.push((edge, started_at, Instant::now()));
    }

    /// Checks that the edges kept the rests that replicas asked for, and sent nothing to replicas
    /// that had said that they leave.
    fn check_wishes(&self, seed: u64) {
        let (rests, leaves) = self.frail_pool.wish_counts();
        println!("seed {seed}: {rests} answers asked for rest, {leaves} told of leaving");
        let disturbances = self.disturbances.lock().expect("a thread panicked");
        for edge in 0..self.edges.len() {
            let was_disturbed = |from: Instant, until: Instant| {
                let mut own = disturbances.iter();
                own.any(|&(disturbed, start, end)| {
                    disturbed == edge && start <= until && end >= from
                })
            };
            let source = self.edges[edge].ip();
            for broken in self.frail_pool.broken_wishes(edge, source, was_disturbed) {
                self.record(broken);
            }
        }
    }

    /// Checks, once the fleet is in contact again, that the requests which have crashed replicas
    /// reach few more, and that those beside them are served.
    fn check_quarantine(&self, seed: u64) {
        thread::sleep(CONTACT_TIME);
        let mut quarantined = 0;
        for number in 0.. {
            let path = format!("/frail/{number}/crash");
            let crashes = self.frail_pool.crashes(&path);
            if crashes == 0 {
                break;
            }
            // Crashes are known in memory only, which a loss of all power erases.
            let power_lost_at = *self.power_lost_at.lock().expect("a thread panicked");
            if self.frail_pool.crashes_after(&path, power_lost_at) < 3 {
                continue;
            }
            quarantined += 1;
            for step in 0..8 {
                let status = self.send_frail(step % self.edges.len(), &path);
                if self.frail_pool.crashes(&path) == crashes && status != Some(502) {
                    self.record(format!("{path} was answered with {status:?}"));
                }
                self.frail_pool.restart_crashed();
                thread::sleep(Duration::from_millis(100));
            }
            let retries = self.frail_pool.crashes(&path) - crashes;
            if retries > ALLOWED_RETRIES {
                self.record(format!(
                    "{path} crashed {crashes} replicas and {retries} more"
                ));
            }
        }
        let cut_paths = self.cut_paths.lock().expect("a thread panicked");
        println!(
            "seed {seed}: {quarantined} requests crashed three replicas, {} were cut beside them",
            cut_paths.len()
        );
        for path in cut_paths.iter() {
            let started_at = Instant::now();
            while self.send_frail(0, path) != Some(200) {
                if started_at.elapsed() > RECOVERY_TIMEOUT {
                    self.record(format!("{path}, cut once, is not served"));
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }

    /// Checks that requests answered as not run have not run later either.
    fn check_refused(&self) {
        let refused_paths = self
            .refused_paths
            .lock()
            .expect("thread panicked while holding the lock");
        for path in refused_paths.iter().filter(|path| self.runs(path) > 0) {
            self.record(format!("{path} was answered as not run, but ran"));
        }
    }

    /// Checks that a complete answer to a request of this kind has the expected body.
    fn check_body(&self, kind: &str, path: &str, text: &str) {
        let is_expected = match kind {
            "resumable" | "once" => {
                let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
                ids.eq((1..=EVENTS).map(|event| event.to_string()))
            }
            _ => text.ends_with("answers"),
        };
        if !is_expected {
            self.record(format!("{path} was answered with {text:?}"));
        }
    }

    /// Puts a configuration version to one random registry and reads the configuration from a
    /// random one.
    ///
    /// The version read must not be lower than any version accepted before the read.
    fn change_and_read_config(&self, version: u64, rng: &mut Pcg64Mcg) {
        let random_registry =
            |rng: &mut Pcg64Mcg| self.registries[rng.random_range(0..self.registries.len())];
        let document = open_document(version);
        let answer = send(
            random_registry(rng),
            "PUT /config",
            &[],
            document.as_bytes(),
        );
        match answer.status {
            200 => {
                self.accepted_version.fetch_max(version, Ordering::SeqCst);
            }
            status @ 400..=499 => self.record(format!("version {version} was refused: {status}")),
            _ => {}
        }
        let accepted_version = self.accepted_version.load(Ordering::SeqCst);
        let read = send(random_registry(rng), "GET /config", &[], b"");
        let found = version_of(&read.text());
        if read.status == 200 && read.is_whole && found < Some(accepted_version) {
            self.record(format!(
                "read version {found:?} after {accepted_version} was accepted"
            ));
        }
    }

    /// Announces each endpoint to the first registry that accepts the announcement.
    fn announce_endpoints(&self, sequence: u64) {
        for (replica, proxy) in self.replicas.iter().zip(&self.replica_proxies) {
            let (line, body) = announcement(&replica.name, &proxy.address.to_string(), sequence);
            self.registries
                .iter()
                .any(|registry| send(*registry, &line, &[], body.as_bytes()).status == 200);
        }
        self.frail_pool.announce(&self.registries, sequence);
        self.scarce.announce(&self.registries, sequence);
    }
}

/// Injects one random fault into one process, or kills all registries at once.
///
/// All processes are running again when it returns.
fn inject_process_fault(
    run: &SoakRun,
    registries: &mut [SoakProcess],
    edges: &mut [SoakProcess],
    rng: &mut Pcg64Mcg,
) {
    let pause = Duration::from_millis(rng.random_range(50..1500));
    let registry = rng.random_range(0..registries.len());
    let edge = rng.random_range(0..edges.len());
    let random_bytes: [u8; 40] = rng.random();
    match rng.random_range(0..10) {
        0 => restart(&mut registries[registry], pause, SoakProcess::kill),
        1 => {
            // Only one disk may be lost at a time, and it counts as lost until its data has been
            // copied again, which a network fault would delay.
            let _network_guard = run
                .network_lock
                .lock()
                .expect("thread panicked while holding the lock");
            restart(&mut registries[registry], pause, |process| {
                process.kill();
                process.erase_data();
            });
        }
        2 => {
            run.edge_kills[edge].fetch_add(1, Ordering::SeqCst);
            run.disturb_edge(edge, || {
                restart(&mut edges[edge], pause, |process| {
                    process.kill();
                    run.edge_kills[edge].fetch_add(1, Ordering::SeqCst);
                });
            });
        }
        3 => suspend(&registries[registry], pause * 2),
        4 => run.disturb_edge(edge, || suspend(&edges[edge], pause)),
        5 => run.disturb_edge(edge, || restart(&mut edges[edge], pause, stop)),
        6 => restart(&mut registries[registry], pause, |process| {
            process.kill();
            process.append_torn_write(&random_bytes);
        }),
        7 => fill_disk(&mut registries[registry], pause * 2),
        8 => {
            // Only one disk may be lost at a time, as above.
            let _network_guard = run
                .network_lock
                .lock()
                .expect("thread panicked while holding the lock");
            lose_power_and_disk(run, registries, edges, (registry, pause), &random_bytes);
        }
        _ => {
            registries.iter_mut().for_each(SoakProcess::kill);
            thread::sleep(pause);
            registries.iter_mut().for_each(SoakProcess::start);
            // The next fault may lose a disk; by then the others must have its data.
            thread::sleep(Duration::from_secs(3));
        }
    }
}

/// Loses the power of all VMs at the same moment and the disk of one registry, and leaves a torn
/// write on the disks of the others.
fn lose_power_and_disk(
    run: &SoakRun,
    registries: &mut [SoakProcess],
    edges: &mut [SoakProcess],
    (lost, pause): (usize, Duration),
    torn_bytes: &[u8],
) {
    let started_at = Instant::now();
    for edge_kills in &run.edge_kills {
        edge_kills.fetch_add(1, Ordering::SeqCst);
    }
    registries
        .iter_mut()
        .chain(&mut *edges)
        .for_each(SoakProcess::kill);
    for edge_kills in &run.edge_kills {
        edge_kills.fetch_add(1, Ordering::SeqCst);
    }
    for (number, registry) in registries.iter_mut().enumerate() {
        match number == lost {
            true => registry.erase_data(),
            false => registry.append_torn_write(torn_bytes),
        }
    }
    thread::sleep(pause);
    let restarted_at = Instant::now();
    registries
        .iter_mut()
        .chain(edges)
        .for_each(SoakProcess::start);
    thread::sleep(Duration::from_secs(4));
    *run.power_lost_at.lock().expect("a thread panicked") = restarted_at;
    let mut disturbances = run.disturbances.lock().expect("a thread panicked");
    let all = (0..run.edges.len()).map(|edge| (edge, started_at, Instant::now()));
    disturbances.extend(all);
}

/// Sends SIGTERM to a process and waits until it has ended, which takes at most its grace period.
fn stop(process: &mut SoakProcess) {
    process.signal(Signal::TERM);
    while !process.has_ended() {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Runs a registry for `duration` on a full disk.
fn fill_disk(process: &mut SoakProcess, duration: Duration) {
    process.kill();
    process.set_disk_quota(Some(1));
    process.start();
    thread::sleep(duration);
    process.set_disk_quota(None);
    restart(process, Duration::from_millis(50), SoakProcess::kill);
}

/// Injects one random fault into the connections of one proxy and removes it afterwards.
fn inject_network_fault(proxies: &[&SoakProxy], rng: &mut Pcg64Mcg) {
    let proxy = proxies[rng.random_range(0..proxies.len())];
    let duration = Duration::from_millis(rng.random_range(200..3500));
    let delay = Duration::from_millis(rng.random_range(5..300));
    let blocked = ProxyMode {
        blocks_forward: true,
        blocks_backward: true,
        ..ProxyMode::default()
    };
    let mode = match rng.random_range(0..5) {
        0 => ProxyMode {
            delay,
            ..ProxyMode::default()
        },
        1 => ProxyMode {
            blocks_backward: false,
            ..blocked
        },
        2 => ProxyMode {
            blocks_forward: false,
            ..blocked
        },
        3 => blocked,
        _ => {
            proxy.reset();
            return;
        }
    };
    proxy.set_mode(mode);
    thread::sleep(duration);
    proxy.set_mode(ProxyMode::default());
}

/// Ends a process through `terminate` and starts it again after `pause`.
fn restart(process: &mut SoakProcess, pause: Duration, terminate: impl Fn(&mut SoakProcess)) {
    let is_registry = process.data.is_some();
    terminate(process);
    thread::sleep(pause);
    process.start();
    if is_registry {
        // Only one registry may be lost at a time, and it counts as lost until it has caught up.
        thread::sleep(Duration::from_secs(4));
    }
}

fn suspend(process: &SoakProcess, pause: Duration) {
    process.signal(Signal::STOP);
    thread::sleep(pause);
    process.signal(Signal::CONT);
}

/// Runs the soak with one seed; returns the violated guarantees.
fn run_soak(seed: u64, duration: Duration) -> Vec<String> {
    let folder = tempfile::tempdir().expect("failed to create a folder");
    let (mut registries, mut edges) = make_processes(folder.path());
    let replicas = [Replica::start("i-one"), Replica::start("i-two")];
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let start_proxy = |replica: &Replica| SoakProxy::start(any_port, replica.address);
    let run = SoakRun {
        replica_proxies: replicas.iter().map(start_proxy).collect(),
        edge_kills: edges.iter().map(|_| AtomicU64::new(0)).collect(),
        frail_pool: FrailPool::start(),
        scarce: ScarceService::start(),
        resume_counts: ResumeCounts::default(),
        cut_paths: Mutex::default(),
        disturbances: Mutex::default(),
        refused_paths: Mutex::default(),
        power_lost_at: Mutex::new(Instant::now()),
        network_lock: Mutex::default(),
        is_finished: AtomicBool::new(false),
        are_faults_over: AtomicBool::new(false),
        edges: edges.iter().map(|edge| edge.address).collect(),
        registries: registries.iter().map(|registry| registry.address).collect(),
        replicas,
        accepted_version: AtomicU64::new(0),
        next_request: AtomicU64::new(0),
        served: AtomicU64::new(0),
        violations: Mutex::new(Vec::new()),
    };
    let proxies: Vec<SoakProxy> = registries
        .iter_mut()
        .filter_map(|registry| registry.proxy.take())
        .collect();
    registries.iter_mut().for_each(SoakProcess::start);
    edges.iter_mut().for_each(SoakProcess::start);
    thread::scope(|scope| {
        for client in 0..4 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + client);
            let run = &run;
            scope.spawn(move || {
                while !run.is_finished.load(Ordering::SeqCst) {
                    run.send_request(&mut rng);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        let run = &run;
        for client in 0..6 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 10 + client);
            scope.spawn(move || run.stall(&mut rng));
        }
        for edge in 0..run.edges.len() {
            scope.spawn(move || {
                let mut client = KeepAliveClient::default();
                while !run.is_finished.load(Ordering::SeqCst) {
                    run.send_on_kept_connection(edge, &mut client);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 70);
        scope.spawn(move || run.send_poison(&mut rng));
        let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 85);
        scope.spawn(move || run.send_deadly_parts(&mut rng));
        for reader in 0..STREAM_READERS {
            let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 86 + reader * READER_SEED_STEP);
            scope.spawn(move || {
                while !run.are_faults_over.load(Ordering::SeqCst) {
                    run.take_up_stream(&mut rng);
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
        for client in 0..2 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 87 + client);
            scope.spawn(move || run.compete(&mut rng));
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 90);
        scope.spawn(move || run.change_frail(&mut rng));
        let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 95);
        let cutting = scope.spawn(move || run.cut_edges(&mut rng));
        let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 80);
        scope.spawn(move || {
            while !run.are_faults_over.load(Ordering::SeqCst) {
                run.send_beside_poison(&mut rng);
                thread::sleep(Duration::from_millis(20));
            }
        });
        let mut rng = Pcg64Mcg::seed_from_u64(seed * 100 + 50);
        scope.spawn(move || {
            let mut version = 0;
            while !run.is_finished.load(Ordering::SeqCst) {
                version += rng.random_range(1..4);
                run.change_and_read_config(version, &mut rng);
                thread::sleep(Duration::from_millis(100));
            }
        });
        scope.spawn(move || {
            let mut sequence = 0;
            while !run.is_finished.load(Ordering::SeqCst) {
                sequence += 1;
                run.announce_endpoints(sequence);
                thread::sleep(Duration::from_millis(400));
            }
        });
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let started_at = Instant::now();
        thread::sleep(Duration::from_secs(2));
        // Faults of the network overlap with those of the processes.
        let mut network_rng = Pcg64Mcg::seed_from_u64(seed * 100 + 60);
        let proxies: Vec<_> = proxies.iter().chain(&run.replica_proxies).collect();
        let network = scope.spawn(move || {
            while started_at.elapsed() < duration {
                let network_guard = run
                    .network_lock
                    .lock()
                    .expect("thread panicked while holding the lock");
                inject_network_fault(&proxies, &mut network_rng);
                drop(network_guard);
                thread::sleep(Duration::from_millis(network_rng.random_range(0..800)));
            }
        });
        while started_at.elapsed() < duration {
            inject_process_fault(run, &mut registries, &mut edges, &mut rng);
        }
        network.join().expect("network fault thread panicked");
        run.are_faults_over.store(true, Ordering::SeqCst);
        cutting.join().expect("thread of cuts panicked");
        check_recovery(run);
        run.check_beside_stalled_clients();
        for edge in &edges {
            run.check_memory(edge);
        }
        run.check_wishes(seed);
        run.check_shares(seed, &mut rng);
        run.check_quarantine(seed);
        run.check_deadly_parts(seed, &mut rng);
        run.resume_counts.report(seed);
        run.is_finished.store(true, Ordering::SeqCst);
    });
    run.check_refused();
    let served = run.served.load(Ordering::SeqCst);
    let accepted_version = run.accepted_version.load(Ordering::SeqCst);
    println!("seed {seed}: {served} served, version {accepted_version} accepted");
    let violations = run
        .violations
        .into_inner()
        .expect("thread panicked while holding the lock");
    if !violations.is_empty() {
        println!("logs of seed {seed}: {}", folder.keep().display());
    }
    violations
}

/// Checks that every edge serves and the configuration can be read again after the last fault.
fn check_recovery(run: &SoakRun) {
    let started_at = Instant::now();
    let serves = |edge: &SocketAddr| {
        let headers = [("X-Request-Id", "recovery"), ("X-Deadline-Ms", "2000")];
        send(*edge, "POST /safe/recovery/ok", &headers, b"").status == 200
    };
    let reads = || send(run.registries[0], "GET /config", &[], b"").status == 200;
    while !(run.edges.iter().all(serves) && reads()) {
        if started_at.elapsed() > RECOVERY_TIMEOUT {
            run.record(format!(
                "no service within {RECOVERY_TIMEOUT:?} after the last fault"
            ));
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Value of an environment variable, if it is set to a number.
fn env_number(name: &str) -> Option<u64> {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok())
}

/// Seeds to run: those selected by environment variables, or one seed and the regression seeds.
fn selected_seeds() -> Vec<u64> {
    match env_number("SOAK_SEED") {
        Some(first) => (first..first + env_number("SOAK_SEEDS").unwrap_or(1)).collect(),
        None => [1].into_iter().chain(REGRESSION_SEEDS).collect(),
    }
}

/// Guards against lost configurations, forbidden runs of requests, wrong answers, closed connections
/// and missing recovery while processes are killed, suspended or restarted, disks are lost or full
/// and connections are delayed, blocked or reset.
#[test]
fn guarantees_hold_during_process_disk_and_network_faults() {
    let duration = Duration::from_secs(env_number("SOAK_SECONDS").unwrap_or(15));
    let mut violations = Vec::new();
    for seed in selected_seeds() {
        let found = run_soak(seed, duration);
        violations.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
