//! Listeners of processes that start while others end.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use ragwortroad_link::prelude::*;
use tokio::{
    net::TcpListener,
    time::sleep, //
};

/// Guards against processes that end by themselves since the one before them has not ended yet.
#[tokio::test]
async fn an_address_that_is_in_use_for_a_moment_is_bound() {
    let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let former = TcpListener::bind(any).await.expect("no free port");
    let address = former.local_addr().expect("no address");
    let release = async {
        sleep(Duration::from_millis(300)).await;
        drop(former);
    };
    let (bound, ()) = tokio::join!(bind_listener(address), release);
    assert_eq!(
        bound.map(|bound| bound.local_addr().ok()).ok(),
        Some(Some(address))
    );
}

/// Guards against a process that waits for an address for ever.
#[tokio::test]
async fn an_address_that_stays_in_use_is_an_error() {
    let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let other = TcpListener::bind(any).await.expect("no free port");
    let address = other.local_addr().expect("no address");
    assert!(bind_listener(address).await.is_err());
}
