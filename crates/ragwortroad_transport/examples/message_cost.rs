//! Measures the overhead of a small message: QUIC headers, acknowledgements and handshake.
//!
//! Two transports on loopback send each other messages at a low rate, one per second or less, as
//! gossip does. Prints the bytes on the wire per message, counting 28 bytes of IPv4 and UDP
//! headers per datagram, and how many of them are overhead.
//!
//! ```text
//! cargo run --release -p ragwortroad_transport --example message_cost
//! ```

use std::{
    error::Error,
    thread::sleep,
    time::Duration, //
};

use ragwortroad_transport::prelude::*;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// Messages sent in each direction per measurement.
const MESSAGES_EACH_WAY: u64 = 40;
/// Time between two messages in one direction.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);

fn wire_bytes(transport: &PeerTransport) -> u64 {
    let stats = transport.stats();
    stats.bytes_sent + HEADER_BYTES * stats.datagrams_sent
}

fn start(files: &KeyFiles, name: &str) -> Result<PeerTransport, Box<dyn Error>> {
    let settings = TransportSettings {
        keys: files.peer_keys(name)?,
        ..TransportSettings::default()
    };
    let (transport, events) = PeerTransport::start(settings)?;
    std::thread::spawn(move || while events.recv().is_ok() {});
    Ok(transport)
}

fn main() -> Result<(), Box<dyn Error>> {
    let files = make_keys("cost", &["a", "b"])?;
    let (a, b) = (start(&files, "a")?, start(&files, "b")?);
    let total_wire_bytes = || wire_bytes(&a) + wire_bytes(&b);
    let send = |from: &PeerTransport, to: &PeerTransport, channel, length| {
        from.send(to.local_address(), to.node(), channel, vec![7; length]);
    };
    send(&a, &b, PeerChannel::Gossip, 100);
    sleep(Duration::from_secs(2));
    println!(
        "handshake and first message, both ways: {} bytes",
        total_wire_bytes()
    );
    for (name, channel, length) in [
        ("datagram", PeerChannel::Gossip, 30),
        ("datagram", PeerChannel::Gossip, 300),
        ("datagram", PeerChannel::Gossip, 1000),
        ("stream", PeerChannel::Slots, 30),
        ("stream", PeerChannel::Slots, 300),
    ] {
        let before = total_wire_bytes();
        for _ in 0..MESSAGES_EACH_WAY {
            send(&a, &b, channel, length);
            sleep(MESSAGE_INTERVAL / 2);
            send(&b, &a, channel, length);
            sleep(MESSAGE_INTERVAL / 2);
        }
        sleep(Duration::from_millis(200));
        let bytes_each = (total_wire_bytes() - before) as f64 / (2 * MESSAGES_EACH_WAY) as f64;
        let overhead = bytes_each - length as f64;
        println!(
            "{name} of {length} bytes: {bytes_each:.1} bytes each, {overhead:.1} of them overhead"
        );
    }
    a.shutdown();
    b.shutdown();
    Ok(())
}
