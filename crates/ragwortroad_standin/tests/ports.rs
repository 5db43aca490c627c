//! Tests of ports for listeners that start later.

use std::{
    collections::BTreeSet,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    process::Command,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread, //
};

use ragwortroad_standin::prelude::*;

/// Guards against listeners that find their port taken by a connection or by another test.
#[test]
fn reserved_ports_are_distinct_and_none_that_the_system_assigns() {
    const THREADS: usize = 4;
    const PORTS: usize = 40;
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let reserve = || (0..PORTS).map(|_| reserve_port(ip).expect("a free port"));
    let ports: Vec<u16> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(|| reserve().collect::<Vec<u16>>()))
            .collect();
        let threads = threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("a thread panicked"))
            .collect()
    });
    let distinct: BTreeSet<u16> = ports.iter().copied().collect();
    assert_eq!(distinct.len(), THREADS * PORTS);
    let assigned = TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr());
    let assigned = assigned.expect("a port assigned by the system").port();
    assert!(
        ports.iter().all(|port| *port < assigned),
        "{assigned} is assigned"
    );
    let listeners = ports.iter().map(|port| TcpListener::bind((ip, *port)));
    assert!(listeners.collect::<Result<Vec<_>, _>>().is_ok());
}

/// Guards against listeners that find their address in use by a process that is just being started.
#[test]
fn an_address_is_bound_again_while_processes_start() {
    const BINDS: usize = 500;
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let address = SocketAddr::new(ip, reserve_port(ip).expect("a free port"));
    let is_over = AtomicBool::new(false);
    let start_processes = || {
        while !is_over.load(Ordering::SeqCst) {
            let child = start_process(&mut Command::new("true"));
            let status = child.and_then(|mut child| child.wait());
            assert!(status.expect("a process starts").success());
        }
    };
    let refused = thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(start_processes);
        }
        let binds = (0..BINDS).map(|_| bind_listener(address));
        let refused = binds.filter(Result::is_err).count();
        is_over.store(true, Ordering::SeqCst);
        refused
    });
    assert_eq!(refused, 0, "of {BINDS}");
}
