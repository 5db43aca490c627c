//! Transports of several nodes exchange messages over loopback.

use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    thread::JoinHandle,
    time::{
        Duration,
        Instant, //
    }, //
};

use flume::Receiver;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

/// Time limit of a wait; only a hang reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn start_at(
    files: &KeyFiles,
    name: &str,
    listen: SocketAddr,
) -> (PeerTransport, Receiver<PeerEvent>) {
    let settings = TransportSettings {
        listen,
        keys: files.peer_keys(name).expect("keys of the node"),
        // Longer than any test, so that no result depends on an idle timeout.
        idle_timeout: Duration::from_secs(600),
        max_message_bytes: 1 << 20,
        queue_capacity: 16,
        reconnect_delay: Duration::from_millis(20),
        handshake_timeout: Duration::from_secs(1),
        message_timeout: Duration::from_secs(2),
        ..TransportSettings::default()
    };
    PeerTransport::start(settings).expect("the transport starts")
}

fn start(files: &KeyFiles, name: &str) -> (PeerTransport, Receiver<PeerEvent>) {
    start_at(files, name, SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn next_message(events: &Receiver<PeerEvent>) -> PeerMessage {
    loop {
        let event = events.recv_timeout(WAIT_LIMIT).expect("an event comes");
        if let PeerEvent::Received(message) = event {
            return message;
        }
    }
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "timed out waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn id(name: &str) -> NodeId {
    NodeId::from_name(name)
}

/// Guards against messages that are truncated, changed, sent on the wrong channel or sent over a
/// second connection.
#[test]
fn messages_arrive_complete_on_every_channel_over_one_connection() {
    let files = make_keys("fleet", &["a", "b"]).unwrap();
    let ((a, a_events), (b, b_events)) = (start(&files, "a"), start(&files, "b"));
    assert_eq!(a.node(), id("a"));
    let channels = [
        PeerChannel::Gossip,
        PeerChannel::Consensus,
        PeerChannel::Slots,
        PeerChannel::Follow,
        PeerChannel::Timeline,
    ];
    for (index, channel) in channels.into_iter().enumerate() {
        for length in [0, 1, 1_000, 70_000, 1 << 20] {
            let bytes: Vec<u8> = (0..length).map(|at| (at * 7 + index) as u8).collect();
            assert_eq!(
                a.send(b.local_address(), id("b"), channel, bytes.clone()),
                SendOutcome::Queued
            );
            let message = next_message(&b_events);
            assert_eq!((message.from, message.channel), (id("a"), channel));
            assert!(
                message.bytes == bytes,
                "{channel:?} of {length} bytes was changed"
            );
            // The reply uses the connection that the other side opened.
            b.send(a.local_address(), id("a"), channel, bytes.clone());
            assert!(next_message(&a_events).bytes == bytes);
        }
    }
    assert_eq!((a.stats().connections, b.stats().connections), (1, 1));
    assert!(a.bytes_sent() > 5 << 20 && b.bytes_received() > 5 << 20);
    a.shutdown();
    b.shutdown();
}

/// Guards against messages to or from peers whose certificate is from another authority.
#[test]
fn a_peer_of_another_authority_is_rejected() {
    let files = make_keys("fleet", &["a", "b"]).unwrap();
    let foreign = make_keys("fleet", &["a", "b"]).unwrap();
    let (a, a_events) = start(&files, "a");
    let (b, _b_events) = start(&files, "b");
    let (stranger, stranger_events) = start(&foreign, "b");
    stranger.send(
        a.local_address(),
        id("a"),
        PeerChannel::Consensus,
        b"let me in".to_vec(),
    );
    a.send(
        stranger.local_address(),
        id("b"),
        PeerChannel::Consensus,
        b"secret".to_vec(),
    );
    for events in [&a_events, &stranger_events] {
        let event = events.recv_timeout(WAIT_LIMIT).unwrap();
        assert!(matches!(event, PeerEvent::PeerLost { .. }), "{event:?}");
    }
    // The first message that node a receives is from node b, so the one from the foreign peer was
    // rejected.
    b.send(
        a.local_address(),
        id("a"),
        PeerChannel::Consensus,
        b"sound".to_vec(),
    );
    assert_eq!(next_message(&a_events).bytes, b"sound");
    wait_for("the refusal is counted", || {
        stranger.stats().handshakes_refused > 0
    });
    assert_eq!(stranger.stats().messages_received, 0);
    for transport in [a, b, stranger] {
        transport.shutdown();
    }
}

/// Guards against delivery to the wrong node after an address changed hands: the process at the
/// address belongs to a node other than the expected one.
#[test]
fn a_message_for_one_node_is_not_delivered_to_another() {
    let files = make_keys("fleet", &["a", "b"]).unwrap();
    let ((a, a_events), (b, b_events)) = (start(&files, "a"), start(&files, "b"));
    a.send(
        b.local_address(),
        id("c"),
        PeerChannel::Slots,
        b"for c".to_vec(),
    );
    let event = a_events.recv_timeout(WAIT_LIMIT).unwrap();
    assert!(matches!(event, PeerEvent::PeerLost { peer, .. } if peer == id("c")));
    a.send(
        b.local_address(),
        id("b"),
        PeerChannel::Slots,
        b"for b".to_vec(),
    );
    assert_eq!(next_message(&b_events).bytes, b"for b");
    a.shutdown();
    b.shutdown();
}

/// Guards against messages above the size limit of the sender, or of a receiver with a lower limit.
#[test]
fn an_oversized_message_is_refused_by_sender_and_receiver() {
    let files = make_keys("fleet", &["a", "b"]).unwrap();
    let (a, _a_events) = start(&files, "a");
    let settings = TransportSettings {
        keys: files.peer_keys("b").unwrap(),
        max_message_bytes: 1_000,
        ..TransportSettings::default()
    };
    let (b, b_events) = PeerTransport::start(settings).unwrap();
    let to_b = |bytes| a.send(b.local_address(), id("b"), PeerChannel::Follow, bytes);
    assert_eq!(to_b(vec![0; (1 << 20) + 1]), SendOutcome::TooLarge);
    assert_eq!(to_b(vec![0; 5_000]), SendOutcome::Queued);
    wait_for("the receiver refuses it", || {
        b.stats().messages_too_large == 1
    });
    to_b(vec![1; 1_000]);
    assert_eq!(next_message(&b_events).bytes, vec![1; 1_000]);
    a.shutdown();
    b.shutdown();
}

/// Forwards datagrams between two transports, so that the process behind it can be replaced without
/// its peer being notified of the close.
struct DatagramRelay {
    address: SocketAddr,
    /// Target for datagrams from the peer; `None` while the process is down.
    target: Arc<Mutex<Option<SocketAddr>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl DatagramRelay {
    fn start() -> Self {
        let front = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let address = front.local_addr().expect("its address");
        let target = Arc::new(Mutex::new(None));
        let stop = Arc::new(AtomicBool::new(false));
        let (target_inside, stop_inside) = (target.clone(), stop.clone());
        let thread = std::thread::spawn(move || relay(&front, &target_inside, &stop_inside));
        Self {
            address,
            target,
            stop,
            thread,
        }
    }

    fn set_target(&self, address: Option<SocketAddr>) {
        *self.target.lock().expect("no thread panics") = address;
    }

    fn join(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the relay ends");
    }
}

fn relay(front: &UdpSocket, target: &Mutex<Option<SocketAddr>>, stop: &AtomicBool) {
    front
        .set_read_timeout(Some(Duration::from_millis(5)))
        .expect("a timeout");
    let mut peer = None;
    let mut buffer = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        let Ok((length, from)) = front.recv_from(&mut buffer) else {
            continue;
        };
        let target = *target.lock().expect("no thread panics");
        let to = match target {
            Some(target) if from == target => peer,
            _ if peer.is_none_or(|known| known == from) => {
                peer = Some(from);
                target
            }
            _ => None,
        };
        if let Some(to) = to {
            front
                .send_to(&buffer[..length], to)
                .expect("loopback sends");
        }
    }
}

/// Guards against a peer that stays unreachable until an idle timeout: its process is replaced
/// without closing its connections.
#[test]
fn a_restarted_peer_is_reachable_before_an_idle_timeout() {
    let files = make_keys("fleet", &["a", "b"]).unwrap();
    let (a, _a_events) = start(&files, "a");
    let (b, b_events) = start(&files, "b");
    let relay = DatagramRelay::start();
    relay.set_target(Some(b.local_address()));
    let send = || {
        a.send(
            relay.address,
            id("b"),
            PeerChannel::Consensus,
            b"hello".to_vec(),
        )
    };
    send();
    assert_eq!(next_message(&b_events).bytes, b"hello");
    relay.set_target(None);
    b.shutdown();
    let (b, b_events) = start(&files, "b");
    relay.set_target(Some(b.local_address()));
    let started_at = Instant::now();
    wait_for("a message arrives after the restart", || {
        send();
        b_events.recv_timeout(Duration::from_millis(50)).is_ok()
    });
    println!("reached again after {:?}", started_at.elapsed());
    a.shutdown();
    b.shutdown();
    relay.join();
}

/// Guards against an unresponsive peer that blocks its sender or delays messages to others.
#[test]
fn a_silent_peer_neither_blocks_the_sender_nor_delays_others() {
    let files = make_keys("fleet", &["a", "b", "gone"]).unwrap();
    let ((a, _a_events), (b, b_events)) = (start(&files, "a"), start(&files, "b"));
    let silent_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let gone = silent_socket.local_addr().unwrap();
    let mut queue_full_count = 0;
    for _ in 0..100 {
        match a.send(gone, id("gone"), PeerChannel::Slots, vec![0; 100]) {
            SendOutcome::QueueFull => queue_full_count += 1,
            outcome => assert_eq!(outcome, SendOutcome::Queued),
        }
    }
    // The writer may hold one message besides the sixteen in the queue.
    assert!(
        queue_full_count >= 100 - 17,
        "the queue accepted too many messages: {queue_full_count} refused"
    );
    a.send(
        b.local_address(),
        id("b"),
        PeerChannel::Slots,
        b"still here".to_vec(),
    );
    assert_eq!(next_message(&b_events).bytes, b"still here");
    assert!(a.stats().messages_dropped >= queue_full_count);
    a.shutdown();
    b.shutdown();
}

/// Guards against replaced key files, readable private keys, invalid node names, and later nodes
/// that cannot join the fleet.
#[test]
fn keys_are_written_once_and_later_nodes_join_the_same_fleet() {
    use std::os::unix::fs::PermissionsExt;

    let folder = tempfile::tempdir().unwrap();
    let files = make_keys("fleet", &["a"]).unwrap();
    files.write_to(folder.path()).unwrap();
    assert!(
        files.write_to(folder.path()).is_err(),
        "keys must not be replaced"
    );
    let path = |name: &str| folder.path().join(name);
    let mode = std::fs::metadata(path("a.key"))
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let read = PeerKeys::read_folder(folder.path(), "a").unwrap();
    let settings = TransportSettings {
        keys: read,
        ..TransportSettings::default()
    };
    let (a, a_events) = PeerTransport::start(settings).unwrap();

    let mut later = files.clone();
    later.nodes = add_keys("fleet", &files.authority_key, &["b"]).unwrap();
    let (b, _b_events) = start(&later, "b");
    b.send(
        a.local_address(),
        id("a"),
        PeerChannel::Gossip,
        b"new here".to_vec(),
    );
    assert_eq!(next_message(&a_events).from, id("b"));
    a.shutdown();
    b.shutdown();

    for names in [&["a", "a"][..], &[], &["Upper"], &["-a"], &["a.b"]] {
        assert!(make_keys("fleet", names).is_err(), "{names:?}");
    }
}

/// Guards against peers that never connect while more peers dial at once than handshakes are
/// allowed.
#[test]
fn more_peers_than_allowed_handshakes_all_connect() {
    let names: Vec<String> = (0..12).map(|index| format!("n{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let files = make_keys("fleet", &names).unwrap();
    let settings = TransportSettings {
        keys: files.peer_keys("n0").unwrap(),
        max_handshakes: 2,
        ..TransportSettings::default()
    };
    let (seed, seed_events) = PeerTransport::start(settings).unwrap();
    let peers: Vec<_> = names[1..].iter().map(|name| start(&files, name)).collect();
    let mut received = std::collections::BTreeSet::new();
    wait_for("the messages of all peers arrived", || {
        for (peer, _) in &peers {
            peer.send(
                seed.local_address(),
                id("n0"),
                PeerChannel::Slots,
                b"hello".to_vec(),
            );
        }
        while let Ok(event) = seed_events.recv_timeout(Duration::from_millis(30)) {
            if let PeerEvent::Received(message) = event {
                received.insert(message.from);
            }
        }
        received.len() == peers.len()
    });
    for (peer, _events) in peers {
        peer.shutdown();
    }
    seed.shutdown();
}
