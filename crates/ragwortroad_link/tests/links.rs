//! Connections that are slow or silent.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::Builder,
    time::sleep, //
};

/// A connection that counts as silent after a second.
fn settings() -> LinkSettings {
    LinkSettings {
        idle_timeout: Duration::from_secs(1),
        ..LinkSettings::default()
    }
}

fn records(count: u64) -> Vec<EndpointRecord> {
    let record = |index: u64| EndpointRecord {
        // Spread like a hash, as names of incarnations are.
        name: format!("i-{:010x}", index.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24),
        service: "jeny53a".to_owned(),
        address: format!("10.{}.{}.{}:8485", index % 3, index % 64, index % 251)
            .parse()
            .expect("an address"),
        zone: "rvk-a".to_owned(),
        slots: 128,
        stage: EndpointStage::Ready,
        started_ms: 1_781_770_000_000 + index * 7919 % 60_000,
        sequence: 3,
        warming_ms: 0,
    };
    (0..count).map(record).collect()
}

/// Guards against a connection that is given up while a large message is on its way.
#[test]
fn a_message_that_takes_long_is_no_silence() {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("an address");
        let message = LinkMessage::EndpointsWhole(records(400));
        let bytes = EncodedMessage::try_from(&message).expect("encodes").bytes;
        let sender = async move {
            let mut stream = TcpStream::connect(address).await.expect("connects");
            let length = (bytes.len() as u32).to_be_bytes();
            stream.write_all(&length).await.expect("writes");
            for piece in bytes.chunks(bytes.len() / 20) {
                sleep(Duration::from_millis(100)).await;
                stream.write_all(piece).await.expect("writes");
            }
            // Nothing more comes, but the connection stays.
            sleep(Duration::from_secs(20)).await;
        };
        let receiver = async {
            let (stream, _) = listener.accept().await.expect("accepts");
            let queue = LinkQueue::new(&settings());
            let mut heard = Vec::new();
            let take = |message| heard.push(message);
            let ended = run_link(stream, queue, false, &settings(), take).await;
            (heard, ended)
        };
        let (heard, ended) = tokio::select! {
            () = sender => panic!("the silent connection was kept"),
            got = receiver => got,
        };
        assert_eq!(heard, [message]);
        assert!(matches!(ended, LinkError::IdleTimeout { .. }), "{ended}");
    });
}

/// Guards against records that fill a link for longer than heartbeats can wait.
#[test]
fn a_record_takes_as_many_bytes_as_reckoned() {
    for count in [22, 100, 333] {
        let news = records(count).into_iter().map(RegistryChange::Told);
        let message = LinkMessage::EndpointUpdates(news.collect());
        let encoded = EncodedMessage::try_from(&message).expect("encodes");
        let bytes = encoded.bytes.len();
        let each = bytes as f64 / count as f64;
        println!("{count} records: {each:.1} bytes each");
        assert!(each <= 30.0, "{count} records take {each} bytes each");
    }
}

/// Guards against edges that find registries late, and endless attempts to reach lost VMs.
#[test]
fn a_process_that_has_just_started_dials_often() {
    let mut backoff = DialBackoff::default();
    let early: Vec<_> = (0..20)
        .map(|_| backoff.next_delay(Duration::from_secs(2)))
        .collect();
    assert!(early.iter().all(|pause| *pause == early[0]));
    let late: Vec<_> = (0..20)
        .map(|_| backoff.next_delay(Duration::from_secs(60)))
        .collect();
    assert!(late.is_sorted() && late[19] >= early[0] * 8);
    backoff.reset();
    assert_eq!(backoff.next_delay(Duration::from_secs(60)), early[0]);
}

/// Guards against a process that is looked for too late after it has come up.
#[test]
fn a_process_that_came_up_a_little_later_is_found_at_once() {
    let whole = LinkSettings::default().dial_timeout;
    for up_ms in 0..2000 {
        let up = Duration::from_millis(up_ms);
        let mut backoff = DialBackoff::default();
        let mut now = Duration::ZERO;
        while now < up {
            now += backoff.attempt_timeout(now, whole);
            now += backoff.next_delay(now);
        }
        let late = now - up;
        assert!(late <= Duration::from_millis(400), "{late:?} after {up:?}");
        // Most come up within the first second, and all others wait for the last of them.
        let is_prompt = up_ms > 850 || late <= Duration::from_millis(150);
        assert!(is_prompt, "{late:?} after {up:?}");
    }
    let later = DialBackoff::default().attempt_timeout(Duration::from_secs(60), whole);
    assert_eq!(later, whole, "regions may be far apart");
}
