//! One seeded run of a fleet whose processes are all killed while disks are lost.

use std::{
    fs,
    io::Write,
    net::{
        SocketAddr,
        TcpStream, //
    },
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::{
    RngExt,
    SeedableRng,
    seq::SliceRandom, //
};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;

use crate::{
    caller::send,
    document::{
        open_document,
        version_of, //
    },
    processes::{
        FleetSize,
        SoakProcess,
        make_fleet, //
    }, //
};

/// Longest time from the start of the processes to the first configuration in milliseconds.
const MAX_START_MS: u64 = 10_000;

/// Time after which the fleet must have acknowledged a configuration.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the last start in which each registry must answer a read.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after the last start for which a lost disk counts as lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Registries that start twice within a second in some runs.
const STARTED_TWICE: usize = 3;

/// Shortest and longest time from the first to the second of these starts in milliseconds.
const SECOND_START_MS: (u64, u64) = (800, 1000);

/// A fleet, and the configurations that it was sent.
pub(crate) struct LossPlay {
    seed: u64,
    size: FleetSize,
    rng: Pcg64Mcg,
    registries: Vec<SoakProcess>,
    edges: Vec<SoakProcess>,
    started_at: Instant,
    /// Newest version that was sent, and the newest that was acknowledged.
    sent: u64,
    acknowledged: u64,
}

impl LossPlay {
    /// Starts the fleet of this seed with its files in `folder`.
    pub(crate) fn start(seed: u64, folder: &Path) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (registries, tolerated_disk_losses) =
            [(9, 2), (9, 2), (9, 2), (9, 2), (5, 1), (3, 1)][rng.random_range(0..6)];
        let size = FleetSize {
            registries,
            edges: [0, 0, 3][rng.random_range(0..3)],
            tolerated_disk_losses,
        };
        let (registries, edges) = make_fleet(folder, size);
        let mut play = Self {
            seed,
            size,
            rng,
            registries,
            edges,
            started_at: Instant::now(),
            sent: 0,
            acknowledged: 0,
        };
        play.start_all();
        play
    }

    /// Loses power and disks at a moment that the seed selects, once or twice.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        let delay = Duration::from_millis(self.rng.random_range(0..MAX_START_MS));
        let changes_members = self.rng.random_bool(0.3);
        let loses_twice = self.rng.random_bool(0.35);
        println!(
            "seed {}: first configuration after {delay:?}, power is lost twice: {loses_twice}",
            self.seed
        );
        thread::sleep(delay);
        self.lose_power(changes_members)?;
        if loses_twice {
            let recovered_at = self.started_at + CATCH_UP_TIME;
            thread::sleep(recovered_at.saturating_duration_since(Instant::now()));
            let changes_members = self.rng.random_bool(0.3);
            self.lose_power(changes_members)?;
        }
        Ok(())
    }

    /// Puts configurations until one is acknowledged, loses power and disks at that moment, and
    /// checks what the registries answer after their start.
    fn lose_power(&mut self, changes_members: bool) -> Result<(), String> {
        let mut lost = Vec::new();
        if changes_members {
            let index = self.rng.random_range(0..self.registries.len());
            self.registries[index].kill();
            self.registries[index].erase_data();
            self.registries[index].start();
            lost.push(index);
            thread::sleep(Duration::from_millis(self.rng.random_range(0..2000)));
        }
        let putting_at = Instant::now();
        let accepting = self.put_until_acknowledged()?;
        let acknowledged_after = putting_at.elapsed();
        if self.rng.random_bool(0.3) {
            self.put_without_answer();
        }
        let ended = self.kill_all();
        self.select_lost(&mut lost, accepting);
        for &index in &lost {
            self.registries[index].erase_data();
        }
        self.start_all();
        let starts_again = self.rng.random_bool(0.3);
        if starts_again {
            self.start_again(&lost);
        }
        let description = format!(
            "{:?}, registry {} acknowledged version {} after {acknowledged_after:?}, lost disks \
             {lost:?}, members changed: {changes_members}, started twice: {starts_again}",
            self.size,
            accepting + 1,
            self.acknowledged
        );
        println!("seed {}: {description}", self.seed);
        if !ended.is_empty() {
            return Err(format!("{ended:?} ended by themselves; {description}"));
        }
        let read_after = self
            .read_at_all()
            .map_err(|violation| format!("{violation}; {description}"))?;
        println!("seed {}: read at each after {read_after:?}", self.seed);
        Ok(())
    }

    /// Returns the registry that acknowledged the newest version.
    fn put_until_acknowledged(&mut self) -> Result<usize, String> {
        let started_at = Instant::now();
        while started_at.elapsed() < ACKNOWLEDGE_TIMEOUT {
            let index = self.rng.random_range(0..self.registries.len());
            self.sent += 1;
            let document = open_document(self.sent);
            let address = self.registries[index].address;
            let reply = send(address, "PUT /config", &[], document.as_bytes());
            match reply.status {
                200 => {
                    self.acknowledged = self.sent;
                    return Ok(index);
                }
                400..=499 => return Err(format!("refused: {} {}", reply.status, reply.text())),
                _ => thread::sleep(Duration::from_millis(20)),
            }
        }
        Err(format!(
            "no configuration was acknowledged in {ACKNOWLEDGE_TIMEOUT:?}, {:?}",
            self.size
        ))
    }

    /// Sends one more configuration, whose answer is not awaited.
    fn put_without_answer(&mut self) {
        self.sent += 1;
        let document = open_document(self.sent);
        let request = format!(
            "PUT /config HTTP/1.1\r\nHost: site.example\r\nContent-Length: {}\r\n\r\n{document}",
            document.len()
        );
        let index = self.rng.random_range(0..self.registries.len());
        let stream = TcpStream::connect(self.registries[index].address);
        stream
            .and_then(|mut stream| stream.write_all(request.as_bytes()))
            .expect("failed to send a configuration");
        thread::sleep(Duration::from_millis(self.rng.random_range(0..30)));
    }

    /// Kills all processes at the same moment; returns the logs of those that had ended before.
    fn kill_all(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in self.registries.iter_mut().chain(&mut self.edges) {
            match process.has_ended() {
                true => ended.push(process.log.display().to_string()),
                false => process.signal(Signal::KILL),
            }
        }
        let all = self.registries.iter_mut().chain(&mut self.edges);
        all.for_each(SoakProcess::kill);
        ended
    }

    fn start_all(&mut self) {
        let all = self.registries.iter_mut().chain(&mut self.edges);
        all.for_each(SoakProcess::start);
        self.started_at = Instant::now();
    }

    /// Adds registries to `lost` up to a number that is tolerated.
    fn select_lost(&mut self, lost: &mut Vec<usize>, accepting: usize) {
        let seed = self.rng.random_range(0..3);
        let any = self.rng.random_range(0..self.registries.len());
        let mut candidates = vec![accepting, seed, any];
        candidates.extend(self.leader());
        candidates.shuffle(&mut self.rng);
        let count = match self.rng.random_bool(0.8) {
            true => self.size.tolerated_disk_losses,
            false => self.rng.random_range(0..=self.size.tolerated_disk_losses),
        };
        for candidate in candidates {
            if lost.len() < count && !lost.contains(&candidate) {
                lost.push(candidate);
            }
        }
    }

    /// The registry that led the group when it was last logged, if that is known.
    fn leader(&self) -> Option<usize> {
        let logs = self
            .registries
            .iter()
            .map(|registry| fs::read_to_string(&registry.log).expect("failed to read a log"));
        let logs: Vec<String> = logs.collect();
        let newest = logs.iter().flat_map(|log| {
            log.lines()
                .filter_map(|line| Some((number(line, "term")?, number(line, "leader")?)))
        });
        let (_, leader) = newest.max()?;
        logs.iter().position(|log| {
            let mut identities = log.lines().filter_map(|line| number(line, "identity"));
            identities.next_back() == Some(leader)
        })
    }

    /// Kills and starts some registries once more, those without a disk among them.
    fn start_again(&mut self, lost: &[usize]) {
        let (shortest, longest) = SECOND_START_MS;
        let pause = Duration::from_millis(self.rng.random_range(shortest..longest));
        thread::sleep(pause);
        let mut others: Vec<usize> = (0..self.registries.len())
            .filter(|index| !lost.contains(index))
            .collect();
        others.shuffle(&mut self.rng);
        for &index in lost.iter().chain(&others).take(STARTED_TWICE) {
            self.registries[index].kill();
            self.registries[index].start();
        }
        self.started_at = Instant::now();
    }

    /// Reads at each registry until it answers, and once more when all have; returns the time from
    /// the last start to the last first answer.
    fn read_at_all(&self) -> Result<Duration, String> {
        let addresses = self.registries.iter().map(|registry| registry.address);
        let reads = thread::scope(|scope| {
            let reads: Vec<_> = addresses
                .map(|address| scope.spawn(move || self.read_at(address)))
                .collect();
            let reads = reads.into_iter();
            reads
                .map(|read| read.join().expect("a thread of reads panicked"))
                .collect::<Result<Vec<_>, String>>()
        })?;
        let newest = reads.iter().map(|(version, _)| *version).max();
        for (index, registry) in self.registries.iter().enumerate() {
            let read = send(registry.address, "GET /config", &[], b"");
            if read.status == 200 && version_of(&read.text()) < newest {
                let found = version_of(&read.text());
                return Err(format!(
                    "registry {} answered {found:?} after {newest:?} was read",
                    index + 1
                ));
            }
        }
        Ok(reads
            .into_iter()
            .map(|(_, after)| after)
            .max()
            .unwrap_or_default())
    }

    /// Reads at one registry until it answers; returns the version and the time since the last start.
    fn read_at(&self, address: SocketAddr) -> Result<(u64, Duration), String> {
        let mut last = String::from("no answer");
        while self.started_at.elapsed() < READ_TIMEOUT {
            let read = send(address, "GET /config", &[], b"");
            let after = self.started_at.elapsed();
            match version_of(&read.text()).filter(|_| read.status == 200) {
                Some(version) if (self.acknowledged..=self.sent).contains(&version) => {
                    return match after < READ_TIMEOUT {
                        true => Ok((version, after)),
                        false => Err(format!("read at {address} only after {after:?}")),
                    };
                }
                Some(version) => {
                    return Err(format!(
                        "read {version} at {address}; {} was acknowledged, {} sent",
                        self.acknowledged, self.sent
                    ));
                }
                None => last = format!("{} {}", read.status, read.text()),
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!(
            "not read at {address} in {READ_TIMEOUT:?}: {last:?}"
        ))
    }
}

/// The number after a key in a line of a log.
fn number(line: &str, key: &str) -> Option<u64> {
    let (_, rest) = line.split_once(&format!("\"{key}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
