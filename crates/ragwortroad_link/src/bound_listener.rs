use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use tokio::{
    net::TcpListener,
    time::{
        Instant,
        sleep, //
    }, //
};

/// Time for which an address may be in use before that is an error.
///
/// The process before may not have ended yet, or a connection of another process may hold the port
/// for a moment. A process that gave up at once would be down until its supervisor starts it again.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two attempts.
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// Listens on `address`, and waits for a moment if it is in use.
///
/// # Errors
///
/// The address is in use for longer, or cannot be bound for another reason.
pub async fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let started_at = Instant::now();
    let mut is_logged = false;
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && started_at.elapsed() < BIND_TIMEOUT =>
            {
                if !is_logged {
                    tracing::warn!(%address, "the address is in use; trying again for a moment");
                    is_logged = true;
                }
                sleep(BIND_INTERVAL).await;
            }
            bound => return bound,
        }
    }
}
