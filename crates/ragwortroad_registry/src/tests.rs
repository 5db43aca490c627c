//! The queue of configurations on a registry that leads a group of one, with injected time.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use flume::Receiver;
use ragwortroad_clock::prelude::*;
use ragwortroad_consensus::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;
use tempfile::TempDir;
use tokio::sync::oneshot::{
    self,
    error::TryRecvError, //
};

use crate::{
    ControlCall,
    ControlReply,
    call_flow::CALL_TIMEOUT,
    folder_report::FolderReport,
    folder_worker::{
        FolderWorker,
        PersistRequest, //
    },
    origin_store::{
        OriginRequest,
        SYNC_DELAY,
        serve_journal, //
    },
    put_flow::{
        MAX_COMMAND_BYTES,
        TOO_FEW_VOTERS, //
    },
    registry_event::{
        LinkKey,
        RegistryEvent, //
    },
    registry_process::start_state,
    registry_state::RegistryState, //
};

/// Injected time between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// Time limit for the disk threads.
const DISK_TIMEOUT: Duration = Duration::from_secs(30);

type ReplyReceiver = oneshot::Receiver<ControlReply>;

/// A registry that leads a group of one.
struct LeadingRegistry {
    state: RegistryState,
    events: Receiver<RegistryEvent>,
    started_at: ClockTime,
    now: ClockTime,
    _folder: TempDir,
}

impl LeadingRegistry {
    fn start() -> Self {
        Self::start_with(0)
    }

    /// Starts a registry in whose group any `tolerated_disk_losses` disks may be lost.
    fn start_with(tolerated_disk_losses: usize) -> Self {
        let mut registry = Self::open(tolerated_disk_losses);
        registry.wait_until_leader();
        registry
    }

    fn wait_until_leader(&mut self) {
        self.run_until(|registry| {
            let core = registry.state.driver.core();
            core.is_some_and(ConsensusCore::is_leader) && registry.state.driver.applied() > 0
        });
    }

    /// Starts a registry that does not lead yet.
    fn open(tolerated_disk_losses: usize) -> Self {
        let folder = tempfile::tempdir().expect("failed to create a temporary directory");
        Self::open_in(folder, tolerated_disk_losses)
    }

    /// Starts a registry on a given folder; it does not lead yet.
    fn open_in(folder: TempDir, tolerated_disk_losses: usize) -> Self {
        let inner = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1);
        let settings = ForwardSettings {
            inner,
            seeds: vec![inner],
            first_start: true,
            tolerated_disk_losses,
            ..ForwardSettings::default()
        };
        let (sender, events) = flume::unbounded();
        let path = folder.path().join("data");
        let clock = RealClock::start();
        let state = start_state(settings, path, &sender, &clock);
        Self {
            state: state.expect("failed to start the registry"),
            events,
            started_at: clock.now(),
            now: clock.now(),
            _folder: folder,
        }
    }

    /// Handles events of the disk threads and ticks until a condition is met.
    fn run_until(&mut self, mut is_met: impl FnMut(&mut Self) -> bool) {
        while !is_met(self) {
            let core = self.state.driver.core();
            if core.is_none_or(|core| !core.is_leader()) {
                self.tick();
            }
            match self.events.recv_timeout(Duration::from_millis(20)) {
                Ok(event) => self.state.handle(event, self.now),
                Err(_) => self.tick(),
            }
            assert!(self.now.since(self.started_at) < DISK_TIMEOUT, "timed out");
        }
    }

    fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.state.tick(self.now);
    }

    fn put(&mut self, version: u64, document: Vec<u8>) -> ReplyReceiver {
        let (reply, receiver) = oneshot::channel();
        let document = Bytes::from(document);
        let call = ControlCall::PutConfig { version, document };
        let client = Ipv4Addr::LOCALHOST.into();
        self.state.handle_call(call, client, reply, self.now);
        receiver
    }

    /// Connects an edge, without which no endpoint is heard.
    fn connect_edge(&mut self) {
        let link = LinkKey(1);
        let address = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 2);
        let (queue, _) = LinkQueue::new(&LinkSettings::default());
        self.handle(RegistryEvent::LinkAccepted { link, queue });
        let message = LinkMessage::EdgeHello {
            node: "edge".to_owned(),
            address,
            inner: address,
            stage: EdgeStage::Ready,
            zone: "a".to_owned(),
            relay_key: RelayKey::default(),
        };
        self.handle(RegistryEvent::Received { link, message });
    }

    /// Receives a hello of another registry; returns its address.
    fn hear_hello(&mut self, host: u8, member: Option<u64>) -> SocketAddr {
        let link = LinkKey(host.into());
        let address = SocketAddr::new(Ipv4Addr::new(127, 0, 0, host).into(), 1);
        let (queue, _) = LinkQueue::new(&LinkSettings::default());
        self.handle(RegistryEvent::LinkAccepted { link, queue });
        let message = LinkMessage::MemberHello(MemberHello {
            address,
            member,
            is_empty: true,
            known: Vec::new(),
        });
        self.handle(RegistryEvent::Received { link, message });
        address
    }

    /// Connects another registry, both ways; returns its address.
    fn connect_peer(&mut self, host: u8) -> SocketAddr {
        let address = self.hear_hello(host, None);
        let (queue, _) = LinkQueue::new(&LinkSettings::default());
        let peer = address;
        self.handle(RegistryEvent::PeerConnected { peer, queue });
        peer
    }

    fn handle(&mut self, event: RegistryEvent) {
        self.state.handle(event, self.now);
    }

    fn answer(&mut self, peer: SocketAddr, message: LinkMessage) {
        self.handle(RegistryEvent::PeerReceived { peer, message });
    }

    fn say_goodbye(&mut self) -> ReplyReceiver {
        let (reply, receiver) = oneshot::channel();
        let name = "endpoint".to_owned();
        let call = ControlCall::Goodbye { name };
        let client = Ipv4Addr::LOCALHOST.into();
        self.state.handle_call(call, client, reply, self.now);
        receiver
    }

    /// Drains domain `a`, or undrains it.
    fn order(&mut self, is_drained: bool) -> ReplyReceiver {
        let (reply, receiver) = oneshot::channel();
        let domain = "a".to_owned();
        let call = ControlCall::DrainDomain { domain, is_drained };
        let client = Ipv4Addr::LOCALHOST.into();
        self.state.handle_call(call, client, reply, self.now);
        receiver
    }

    /// Ticks without handling events until there is a reply; `None` if the call was refused as
    /// unavailable.
    fn tick_until_reply(&mut self, mut receiver: ReplyReceiver) -> Option<ControlReply> {
        let give_up_at = self.now.after(CALL_TIMEOUT * 2);
        loop {
            match receiver.try_recv() {
                Ok(ControlReply::Unavailable { .. }) => return None,
                Ok(reply) => return Some(reply),
                Err(_) => self.tick(),
            }
            assert!(self.now < give_up_at, "the call was not answered");
        }
    }

    /// Decides the proposal in flight; the next one must wait for a tick.
    fn decide(&mut self, result: ProposeResult) {
        let token = self.state.proposed_put.expect("no proposal in flight");
        self.state.handle_decision(token, result, self.now);
        assert_eq!(
            self.state.proposed_put, None,
            "{result:?} was followed by a proposal within the call"
        );
    }

    /// Waits for the reply to a call on the real group.
    fn wait_for_reply(&mut self, mut receiver: ReplyReceiver) -> ControlReply {
        let mut found = None;
        self.run_until(|_| {
            found = receiver.try_recv().ok();
            found.is_some()
        });
        found.expect("the loop ends with a reply")
    }
}

/// Bytes that do not compress.
fn random_bytes(length: usize) -> Vec<u8> {
    let mut state = 0x9E37_79B9_7F4A_7C15_u64;
    let next = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 56) as u8
    };
    std::iter::repeat_with(next).take(length).collect()
}

/// Guards against calls that are lost, answered early or never, or proposed again without end.
#[test]
fn every_outcome_of_a_proposal_answers_or_retries_its_call() {
    let outcomes = [
        (ProposeResult::Committed { index: 1, term: 1 }, true),
        (ProposeResult::Unknown, true),
        (ProposeResult::NotLeader { leader: None }, true),
        (ProposeResult::Busy, true),
        (ProposeResult::Refused(ChangeRefusal::ChangeUnderWay), true),
        (ProposeResult::TooLarge, false),
    ];
    for (result, is_retried) in outcomes {
        let mut registry = LeadingRegistry::start();
        let mut receiver = registry.put(1, b"document".to_vec());
        let deadline = registry.now.after(CALL_TIMEOUT);
        registry.decide(result);
        if !is_retried {
            let reply = receiver.try_recv();
            assert!(
                matches!(reply, Ok(ControlReply::TooLarge { .. })),
                "{reply:?}"
            );
            assert!(registry.state.queued_puts.is_empty());
            continue;
        }
        let (mut proposals, mut ticks) = (1, 0);
        while registry.now.after(TICK) < deadline {
            assert_eq!(receiver.try_recv(), Err(TryRecvError::Empty), "{result:?}");
            registry.tick();
            ticks += 1;
            if registry.state.proposed_put.is_some() {
                proposals += 1;
                registry.decide(result);
            }
        }
        // One that was committed against another base is proposed anew at once, others after a while.
        let limit = match result {
            ProposeResult::Committed { .. } => ticks + 1,
            _ => ticks / 4,
        };
        assert!(
            (3..=limit).contains(&proposals),
            "{result:?}: {proposals} proposals in {ticks} ticks"
        );
        for _ in 0..10 {
            registry.tick();
        }
        let reply = receiver.try_recv();
        assert!(
            matches!(reply, Ok(ControlReply::Unavailable { .. })),
            "{result:?}: {reply:?}"
        );
        assert!(registry.state.queued_puts.is_empty(), "{result:?}");
    }
}

/// Guards against a leader that hangs over configurations above the size limit of the log.
#[test]
fn a_leader_refuses_large_configurations_and_commits_the_others() {
    let mut registry = LeadingRegistry::start();
    let small = [1, 2].map(|version| registry.put(version, b"small".to_vec()));
    let large = [11, 12, 13].map(|version| registry.put(version, random_bytes(MAX_COMMAND_BYTES)));
    for receiver in large {
        let reply = registry.wait_for_reply(receiver);
        let expected = MAX_COMMAND_BYTES;
        assert!(
            matches!(reply, ControlReply::TooLarge { limit_bytes, .. } if limit_bytes == expected),
            "{reply:?}"
        );
    }
    for receiver in small {
        assert_eq!(registry.wait_for_reply(receiver), ControlReply::Done);
    }
    assert_eq!(registry.state.driver.register().version(), Some(2));
    let later = registry.put(3, b"later".to_vec());
    assert_eq!(registry.wait_for_reply(later), ControlReply::Done);
}

/// Guards against acknowledgements and changes in force that a tolerated loss of disks would undo.
#[test]
fn a_group_too_small_for_the_tolerated_losses_takes_no_configuration() {
    let mut registry = LeadingRegistry::start_with(1);
    let receiver = registry.put(1, b"{}".to_vec());
    let reply = registry.wait_for_reply(receiver);
    assert!(
        matches!(reply, ControlReply::Unavailable { .. }),
        "{reply:?}"
    );
    assert_eq!(registry.state.driver.register().version(), None);
}

/// Guards against a refusal that names too few registries while the own disk has failed.
#[test]
fn a_registry_without_a_disk_does_not_blame_the_number_of_voters() {
    let mut registry = LeadingRegistry::start();
    let report = FolderReport::Failed {
        generation: 1,
        reason: "the disk is full".to_owned(),
    };
    let event = RegistryEvent::Folder(report);
    registry.state.handle(event, registry.now);
    let mut receiver = registry.put(1, b"{}".to_vec());
    let deadline = registry.now.after(CALL_TIMEOUT).after(TICK * 20);
    while registry.now < deadline {
        registry.tick();
    }
    let reply = receiver.try_recv();
    let Ok(ControlReply::Unavailable { reason }) = reply else {
        panic!("{reply:?}");
    };
    assert_ne!(reason, TOO_FEW_VOTERS);
}

/// Guards against a registry that is ignored by its group since its clock was set back.
#[test]
fn a_start_number_is_above_that_of_a_start_with_the_clock_ahead() {
    let folder = tempfile::tempdir().expect("failed to create a temporary directory");
    let wall_ms = RealClock::start().wall_ms();
    let ahead = wall_ms + 3_600_000;
    let settings = FolderSettings {
        path: folder.path().join("data"),
        fresh_identity: 17,
        min_start: ahead,
        ..FolderSettings::default()
    };
    drop(LogFolder::open(&settings).expect("failed to create the data folder"));
    let mut registry = LeadingRegistry::open_in(folder, 0);
    registry.wait_until_leader();
    let start = registry.state.driver.core().map(ConsensusCore::start);
    assert_eq!(start, Some(ahead + 1));
    let time_of_day = registry.state.wall_ms(registry.now);
    assert!((wall_ms..ahead).contains(&time_of_day), "{time_of_day}");
}

/// Guards against endpoints that are taken for running after a loss that is tolerated.
#[test]
fn a_goodbye_is_acknowledged_once_as_many_others_keep_it_as_may_be_lost() {
    for (others, needed) in [(0, 0), (1, 1), (2, 2), (4, 2)] {
        let mut registry = LeadingRegistry::open(2);
        registry.connect_edge();
        let peers: Vec<_> = (2..2 + others)
            .map(|host| registry.connect_peer(host))
            .collect();
        let mut receiver = registry.say_goodbye();
        registry.tick();
        let token = registry.state.notice_batches.keys().next().copied();
        for index in 0..needed {
            let token = token.expect("the goodbye waits for other registries");
            // A repeated request brings another answer of the same registry.
            for peer in &peers[..index] {
                registry.answer(*peer, LinkMessage::NoticesKept { token });
            }
            let reply = receiver.try_recv();
            assert_eq!(reply, Err(TryRecvError::Empty), "{others} others");
            registry.answer(peers[index], LinkMessage::NoticesKept { token });
        }
        assert_eq!(
            receiver.try_recv(),
            Ok(ControlReply::Done),
            "{others} others"
        );
    }
}

/// A record of an endpoint whose address has a port.
fn endpoint_record(name: &str, port: u16) -> EndpointRecord {
    EndpointRecord {
        name: name.to_owned(),
        service: "desk".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: "a".to_owned(),
        version: String::new(),
        slots: 8,
        stage: EndpointStage::Draining,
        started_ms: 17,
        sequence: 1,
        warming_ms: 0,
    }
}

/// Guards against odd records that one registry takes from another.
#[test]
fn odd_records_of_another_registry_are_not_kept() {
    let mut registry = LeadingRegistry::open(2);
    registry.connect_edge();
    registry.connect_peer(2);
    let large = EndpointRecord {
        sequence: u64::MAX,
        ..endpoint_record("i-large", 80)
    };
    let long = EndpointRecord {
        version: "v".repeat(100_000),
        ..endpoint_record("i-long", 80)
    };
    let records = [
        endpoint_record("i-no-port", 0),
        large,
        long,
        endpoint_record("i-sound", 80),
    ];
    let notices = records.map(RegistryChange::Told).to_vec();
    let now = registry.now;
    registry.state.keep_notices(LinkKey(9), None, notices, now);
    let kept = registry.state.table.records(registry.now);
    let names: Vec<String> = kept.map(|record| record.name).collect();
    assert_eq!(names, ["i-sound"]);
}

/// Guards against records that are not synced while further ones keep coming.
#[test]
fn origins_are_synced_while_streams_keep_beginning() {
    let disk = FakeDisk::default();
    let opened = RotatingJournal::open(DiskPort::Fake(disk.clone()), 1 << 20);
    let (journal, _) = opened.expect("the journal opens");
    let (requests, queue) = flume::unbounded();
    let server = thread::spawn(move || serve_journal(journal, &queue));
    let started_at = Instant::now();
    let mut is_synced = false;
    while !is_synced && started_at.elapsed() < SYNC_DELAY * 20 {
        let sent = requests.send(OriginRequest::Append(Vec::new()));
        sent.expect("the journal is served");
        thread::sleep(SYNC_DELAY / 25);
        is_synced = disk.sync_counts().0 > 0;
    }
    drop(requests);
    server.join().expect("the journal is served to the end");
    assert!(is_synced, "no sync in {:?}", started_at.elapsed());
}

/// Guards against orders that are never acknowledged where a sync takes longer than a call waits.
#[test]
fn an_order_that_is_in_force_is_acknowledged_without_the_disk() {
    let mut registry = LeadingRegistry::start();
    for is_drained in [true, false] {
        // No report of the disk is handled meanwhile.
        let first = registry.order(is_drained);
        assert_eq!(registry.tick_until_reply(first), None, "{is_drained}");
        registry.run_until(|registry| registry.state.driver.drains().is_drained("a") == is_drained);
        let second = registry.order(is_drained);
        let reply = registry.tick_until_reply(second);
        assert_eq!(reply, Some(ControlReply::Done), "{is_drained}");
    }
}

/// Returns the content of a folder once it is open.
fn wait_for_folder(events: &Receiver<RegistryEvent>) -> (u64, StoredState) {
    loop {
        let event = events.recv_timeout(DISK_TIMEOUT);
        let event = event.expect("the folder did not open in time");
        if let RegistryEvent::Folder(FolderReport::Opened { generation, stored }) = event {
            return (generation, *stored);
        }
    }
}

/// Guards against a member that forgets its vote and keeps its identity in an emptied folder.
#[test]
fn an_emptied_folder_is_reopened_as_a_new_member() {
    let folder = tempfile::tempdir().expect("failed to create a temporary directory");
    let settings = FolderSettings {
        path: folder.path().join("data"),
        fresh_identity: 17,
        min_start: 1000,
        ..FolderSettings::default()
    };
    let path = settings.path.clone();
    let (sender, events) = flume::unbounded();
    let worker = FolderWorker::start(settings, sender).expect("failed to start the thread");
    let (generation, first) = wait_for_folder(&events);
    std::fs::remove_dir_all(path).expect("failed to empty the folder");
    let misplaced = StoredEntry {
        index: 9,
        term: 1,
        bytes: Vec::new(),
    };
    worker.persist(PersistRequest {
        generation,
        batch: 1,
        change: LogChange {
            entries: vec![misplaced],
            ..LogChange::default()
        },
    });
    let (_, second) = wait_for_folder(&events);
    worker.join();
    assert!(second.is_new);
    assert_ne!(second.identity, first.identity);
    assert!(second.start > first.start);
}

/// Guards against voters that are replaced while they restart and have not opened their folders yet.
#[test]
fn a_member_whose_folder_is_not_open_yet_is_present() {
    let mut registry = LeadingRegistry::start();
    registry.hear_hello(2, Some(22));
    registry.run_until(|registry| {
        registry.tick();
        let core = registry.state.driver.core();
        core.is_some_and(|core| core.members().find(MemberId(22)).is_some())
    });
    registry.now = registry.now.after(Duration::from_secs(20));
    registry.hear_hello(2, None);
    let core = registry.state.driver.core().expect("the registry leads");
    let statuses = registry.state.member_statuses(core, registry.now);
    let status = statuses.iter().find(|status| status.member == MemberId(22));
    assert_eq!(status.map(|status| status.silent_for), Some(Duration::ZERO));
}
