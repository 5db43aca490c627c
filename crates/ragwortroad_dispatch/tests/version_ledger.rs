//! Tests of what registries keep of software versions, and of when edges rely on it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

const NOW: ClockTime = ClockTime(1_000_000);

/// Registries of the model; all of them vote.
const REGISTRIES: usize = 5;

fn tag(number: u32) -> VersionTag {
    VersionTag::of("llm", &format!("v{number}")).expect("the version is named")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1000 + number as u16)
}

/// Creates the ledger of the first start of a fleet.
fn first_ledger() -> VersionLedger {
    let mut ledger = VersionLedger::new(NOW);
    ledger.load(None, true, NOW);
    ledger
}

/// Guards against versions that count as kept while a write of them is not certain.
#[test]
fn a_version_counts_as_kept_once_it_is_on_disk() {
    let mut ledger = first_ledger();
    assert_eq!(
        ledger.next_save(),
        Some(LedgerContent {
            is_complete: true,
            ..LedgerContent::default()
        })
    );
    ledger.finish_save(true);
    assert_eq!(ledger.next_save(), None, "nothing has changed");
    assert!(ledger.note(tag(1), NOW));
    assert!(ledger.kept().is_empty());
    let saved = ledger.next_save().expect("a version is new");
    assert_eq!(saved.versions, BTreeSet::from([tag(1)]));
    assert_eq!(ledger.next_save(), None, "one write at a time");
    ledger.finish_save(false);
    assert!(ledger.kept().is_empty());
    assert_eq!(
        ledger.next_save(),
        Some(saved),
        "a failed write is repeated"
    );
    ledger.finish_save(true);
    assert_eq!(ledger.kept(), BTreeSet::from([tag(1)]));
    // It is forgotten, and heard of again while the file without it is being written.
    let later = NOW.after(VERSION_MEMORY);
    ledger.expire(later);
    assert!(ledger.kept().is_empty());
    assert_eq!(
        ledger.next_save().map(|content| content.versions.len()),
        Some(0)
    );
    ledger.note(tag(1), later);
    assert!(ledger.kept().is_empty(), "the disk may lack it");
    ledger.finish_save(true);
    assert_eq!(
        ledger.next_save().map(|content| content.versions.len()),
        Some(1)
    );
    ledger.finish_save(true);
    assert_eq!(ledger.kept(), BTreeSet::from([tag(1)]));
}

/// Guards against a lost file that is taken for a proof that there were no versions.
#[test]
fn a_ledger_without_its_file_is_incomplete_until_a_majority_has_told() {
    let mut ledger = VersionLedger::new(NOW);
    assert!(!ledger.is_complete(), "the file has not been read");
    ledger.load(None, false, NOW);
    assert!(!ledger.is_complete());
    for informant in [1, 1, 2] {
        ledger.add_informant(address(informant), 5);
        assert!(!ledger.is_complete());
    }
    // An incomplete file does not count for more after another start.
    let content = ledger.next_save().expect("there is no file");
    let mut next = VersionLedger::new(NOW);
    next.load(Some(content), true, NOW);
    assert!(!next.is_complete());
    ledger.add_informant(address(3), 5);
    assert!(ledger.is_complete());
    next.expire(NOW.after(VERSION_MEMORY));
    assert!(
        next.is_complete(),
        "no stream from before the start can come back"
    );
    let mut unknown = VersionLedger::new(NOW);
    unknown.load(None, false, NOW);
    unknown.add_informant(address(1), 0);
    assert!(!unknown.is_complete(), "the number of voters is unknown");
}

/// Guards against registries that keep a version alive for ever by telling each other of it.
#[test]
fn a_version_that_ended_is_forgotten_although_registries_share_it() {
    let mut ledgers = [first_ledger(), first_ledger()];
    ledgers[0].note(tag(1), NOW);
    let mut now = NOW;
    while now.since(NOW) < VERSION_MEMORY + VERSION_SHARE_INTERVAL {
        for (from, to) in [(0, 1), (1, 0)] {
            let known: Vec<KnownVersion> = ledgers[from].known(now).collect();
            ledgers[to].add_known(&known, now);
        }
        now = now.after(VERSION_SHARE_INTERVAL);
        ledgers.iter_mut().for_each(|ledger| ledger.expire(now));
    }
    for ledger in &ledgers {
        assert_eq!(ledger.known(now).count(), 0);
    }
}

/// Guards against streams that begin at a version which too few registries keep.
#[test]
fn a_stream_begins_at_versions_that_a_majority_of_voters_keeps() {
    let mut quorum = VersionQuorum::default();
    let service = tag(1).service;
    for source in [1, 2] {
        quorum.set_kept(SourceKey(source), [tag(1)]);
    }
    assert!(
        quorum.kept_versions(service).is_empty(),
        "no voters are known"
    );
    quorum.set_voters(SourceKey(1), 3, 3);
    assert_eq!(quorum.kept_versions(service), [tag(1)]);
    quorum.set_voters(SourceKey(2), 0, 3);
    assert_eq!(quorum.kept_versions(service), [tag(1)]);
    quorum.set_voters(SourceKey(2), 5, 5);
    assert!(quorum.kept_versions(service).is_empty());
    quorum.set_kept(SourceKey(3), [tag(1), tag(2)]);
    assert_eq!(quorum.kept_versions(service), [tag(1)]);
    assert_eq!(quorum.versions(service).len(), 2);
    // A registry that has lost its disk says so.
    quorum.set_kept(SourceKey(2), []);
    assert!(quorum.kept_versions(service).is_empty());
}

/// Guards against streams that continue at another version after the group has grown.
#[test]
fn a_majority_of_a_grown_group_knows_each_version_at_which_streams_began() {
    let mut quorum = VersionQuorum::default();
    let service = tag(1).service;
    quorum.set_voters(SourceKey(1), 3, 9);
    for keepers in 1..=9_u32 {
        quorum.set_kept(SourceKey(keepers), [tag(2)]);
        let has_begun = quorum.kept_versions(service) == [tag(2)];
        // The others become voters and have not heard of the version.
        let mut lookup = OriginLookup::default();
        for source in keepers + 1..=9 {
            let answer = OriginAnswer {
                origin: None,
                versions: vec![tag(1)],
                is_complete: true,
            };
            lookup.add(SourceKey(source), answer);
        }
        let only = lookup.only_version([].into_iter(), 9);
        assert!(!has_begun || only.is_none(), "{keepers} keepers");
        assert_eq!(has_begun, keepers >= 5, "{keepers} keepers");
    }
    // A group has an odd number of voters, and nine at most.
    for (registries, voters) in [(1, 3), (4, 3), (6, 5), (20, 9)] {
        quorum.set_voters(SourceKey(1), 3, registries);
        assert_eq!(quorum.voters(), voters, "{registries} registries");
    }
}

/// A registry of the model.
struct ModelRegistry {
    ledger: VersionLedger,
    disk: Option<LedgerContent>,
    /// A write that is under way.
    writing: Option<LedgerContent>,
}

/// A message of the model: versions for a registry.
struct ModelMessage {
    to: usize,
    from: usize,
    known: Vec<KnownVersion>,
    is_complete: bool,
}

/// Five registries that lose disks one at a time and memory all at once, and one edge.
struct LedgerModel {
    registries: Vec<ModelRegistry>,
    messages: Vec<ModelMessage>,
    quorum: VersionQuorum,
    /// When the last stream began at each version.
    begun: BTreeMap<VersionTag, ClockTime>,
    rng: Pcg64Mcg,
    now: ClockTime,
    checks: usize,
    streams: usize,
}

impl LedgerModel {
    fn new(seed: u64) -> Self {
        let registries = (0..REGISTRIES).map(|_| ModelRegistry {
            ledger: first_ledger(),
            disk: None,
            writing: None,
        });
        let mut quorum = VersionQuorum::default();
        quorum.set_voters(SourceKey(0), REGISTRIES as u32, REGISTRIES as u32);
        Self {
            registries: registries.collect(),
            messages: Vec::new(),
            quorum,
            begun: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: NOW,
            checks: 0,
            streams: 0,
        }
    }

    fn share(&mut self, from: usize, to: usize) {
        let ledger = &self.registries[from].ledger;
        self.messages.push(ModelMessage {
            to,
            from,
            known: ledger.known(self.now).collect(),
            is_complete: ledger.is_complete(),
        });
    }

    fn share_all(&mut self) {
        for from in 0..REGISTRIES {
            for to in (0..REGISTRIES).filter(|to| *to != from) {
                self.share(from, to);
            }
        }
    }

    /// An endpoint of a version announces itself, and a stream begins there if it may.
    fn announce(&mut self, version: VersionTag) {
        let home = self.rng.random_range(0..REGISTRIES);
        let is_new = self.registries[home].ledger.note(version, self.now);
        if is_new {
            for to in (0..REGISTRIES).filter(|to| *to != home) {
                self.share(home, to);
            }
        }
        if self
            .quorum
            .kept_versions(version.service)
            .contains(&version)
        {
            self.begun.insert(version, self.now);
            self.streams += 1;
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        let ledger = &mut self.registries[message.to].ledger;
        ledger.add_known(&message.known, self.now);
        if message.is_complete {
            ledger.add_informant(address(message.from), REGISTRIES as u32);
        }
    }

    /// Begins or ends a write of a registry, and tells the edge.
    fn write(&mut self) {
        let index = self.rng.random_range(0..REGISTRIES);
        let fails = self.rng.random_bool(0.1);
        let reaches_disk = self.rng.random_bool(0.5);
        let registry = &mut self.registries[index];
        match registry.writing.take() {
            Some(content) => {
                if !fails || reaches_disk {
                    registry.disk = Some(content);
                }
                registry.ledger.finish_save(!fails);
            }
            None => registry.writing = registry.ledger.next_save(),
        }
        let kept = registry.ledger.kept();
        self.quorum.set_kept(SourceKey(index as u32), kept);
    }

    /// Kills all registries; one of them may lose its disk if all know what they had to keep.
    fn kill_all(&mut self) {
        let all_know = self
            .registries
            .iter()
            .all(|registry| registry.ledger.is_complete() && registry.disk.is_some());
        let lost = all_know.then(|| self.rng.random_range(0..REGISTRIES));
        self.messages.clear();
        for (index, registry) in self.registries.iter_mut().enumerate() {
            if let Some(content) = registry
                .writing
                .take()
                .filter(|_| self.rng.random_bool(0.5))
            {
                registry.disk = Some(content);
            }
            if lost == Some(index) {
                registry.disk = None;
            }
            registry.ledger = VersionLedger::new(self.now);
            registry.ledger.load(registry.disk.clone(), false, self.now);
            // The edge hears of what each keeps when it connects again.
            self.quorum
                .set_kept(SourceKey(index as u32), registry.ledger.kept());
        }
        self.share_all();
    }

    /// Asks a random majority which versions there are.
    fn check(&mut self) {
        let mut order: Vec<usize> = (0..REGISTRIES).collect();
        for index in 0..REGISTRIES {
            order.swap(index, self.rng.random_range(index..REGISTRIES));
        }
        let mut lookup = OriginLookup::default();
        for index in order.into_iter().take(REGISTRIES / 2 + 1) {
            let ledger = &self.registries[index].ledger;
            let answer = OriginAnswer {
                origin: None,
                versions: ledger.versions(tag(0).service).collect(),
                is_complete: ledger.is_complete(),
            };
            lookup.add(SourceKey(index as u32), answer);
        }
        let found = lookup.only_version([].into_iter(), REGISTRIES as u32);
        let recent = self.begun.iter();
        let recent = recent.filter(|(_, begun_at)| self.now.since(**begun_at) < STREAM_MEMORY);
        let recent: BTreeSet<VersionTag> = recent.map(|(version, _)| *version).collect();
        if let Some(found) = found {
            self.checks += 1;
            let others: Vec<_> = recent.iter().filter(|version| **version != found).collect();
            assert!(
                others.is_empty(),
                "{found:?} was taken for the only one beside {others:?}"
            );
        }
    }
}

/// Guards against a majority that forgets a version at which streams began, whatever is lost when.
#[test]
fn no_majority_takes_one_version_for_the_only_one_while_streams_of_another_come_back() {
    let (mut checks, mut streams) = (0, 0);
    for seed in 0..400 {
        let mut model = LedgerModel::new(seed);
        for step in 0..1500_u32 {
            // One version for a while, then a release, then the next.
            let serving = step / 500;
            match model.rng.random_range(0..100) {
                0..30 => model.announce(tag(serving)),
                30..40 if step % 500 > 400 => model.announce(tag(serving + 1)),
                40..60 => model.deliver(),
                60..80 => model.write(),
                80..82 => model.kill_all(),
                82..84 => model.share_all(),
                84..95 => model.check(),
                _ => {
                    let span = model.rng.random_range(0..400);
                    model.now = model.now.after(Duration::from_millis(span));
                    let now = model.now;
                    for registry in &mut model.registries {
                        registry.ledger.expire(now);
                    }
                }
            }
        }
        checks += model.checks;
        streams += model.streams;
    }
    println!("{checks} majorities knew of one version, {streams} streams began");
    assert!(
        checks > 1000 && streams > 1000,
        "{checks} checks, {streams} streams"
    );
}
