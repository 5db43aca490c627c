use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        TcpListener, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_clock::prelude::*;
use ragwortroad_state::prelude::*;

use crate::order::{
    order_report::{
        OrderEnd,
        OrderTask, //
    },
    order_worker::OrderWorker, //
};

/// Time limit for the report of an order.
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends an order to an engine that responds with these bytes and closes the connection.
fn end_of_order(response: &'static str) -> OrderEnd {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let engine = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        // The order arrives in one or two packets, and its content does not matter.
        assert!(stream.read(&mut buffer).unwrap() > 0);
        stream.write_all(response.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        // Ends when the worker closes the connection.
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    let clock = RealClock::start();
    let now = clock.now();
    let worker = OrderWorker::start(clock).unwrap();
    let id = OrderId::default();
    worker.send(OrderTask {
        order: EngineOrder {
            id,
            engine: "engine-1".to_owned(),
            action: OrderAction::Load {
                model: "m".to_owned(),
                version: "v1".to_owned(),
                adapter: None,
            },
        },
        address,
        checks_fencing: true,
        gate: OrderGate::new(OrderTiming::default(), id.fence, now),
        lead_until: now.after(REPORT_TIMEOUT),
    });
    let sent_at = Instant::now();
    let report = loop {
        if let Some(report) = worker.reports().pop() {
            break report;
        }
        assert!(sent_at.elapsed() < REPORT_TIMEOUT, "no report: {response}");
        thread::sleep(Duration::from_millis(5));
    };
    worker.join();
    engine.join().unwrap();
    report.end
}

/// Guards against orders that count as confirmed by a response whose end or whose body is unknown.
#[test]
fn damaged_responses_confirm_no_order() {
    let confirmed = end_of_order("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    assert_eq!(confirmed, OrderEnd::Confirmed);
    let damaged = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n\
         2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkex\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encodinj: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{",
        "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{",
        "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}",
    ];
    for response in damaged {
        let end = end_of_order(response);
        assert!(matches!(end, OrderEnd::Failed(_)), "{end:?}: {response}");
    }
}
