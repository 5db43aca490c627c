//! A loopback proxy that simulates network faults.

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        IpAddr,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use ragwortroad_standin::prelude::*;
use socket2::SockRef;

use crate::replica::drop_packets;

/// Interval at which waiting threads check for a changed mode, a reset or the end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults applied to all connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProxyMode {
    /// Delay of each chunk of data.
    pub(crate) delay: Duration,
    /// Whether data from the connecting side is withheld.
    pub(crate) blocks_forward: bool,
    /// Whether data to the connecting side is withheld.
    pub(crate) blocks_backward: bool,
}

/// State shared by the proxy's threads.
#[derive(Debug, Default)]
struct ProxyState {
    mode: Mutex<ProxyMode>,
    /// Number of calls of [`SoakProxy::reset`]; each resets the connections that existed before.
    reset_count: AtomicU64,
    is_stopping: AtomicBool,
    /// Peer whose packets are lost, in both directions.
    cut_peer: Mutex<Option<IpAddr>>,
}

/// Forwards connections made to `address` to a target address.
#[derive(Debug)]
pub(crate) struct SoakProxy {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    state: Arc<ProxyState>,
    thread: Option<JoinHandle<()>>,
}

impl SoakProxy {
    pub(crate) fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = bind_listener(address).expect("failed to bind a listener");
        let address = listener
            .local_addr()
            .expect("listener has no local address");
        let state = Arc::new(ProxyState::default());
        let shared = Arc::clone(&state);
        let accepting = listener.try_clone().expect("failed to clone the listener");
        let thread = thread::spawn(move || accept(&accepting, target, &shared));
        Self {
            address,
            listener,
            state,
            thread: Some(thread),
        }
    }

    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        *self
            .state
            .mode
            .lock()
            .expect("thread panicked while holding the lock") = mode;
    }

    /// Loses the packets of a peer, also those that open connections; `None` ends that.
    pub(crate) fn cut_peer(&self, peer: Option<IpAddr>) {
        let filters = drop_packets(peer.as_slice());
        SockRef::from(&self.listener)
            .attach_filter(&filters)
            .expect("failed to attach a filter");
        *self
            .state
            .cut_peer
            .lock()
            .expect("thread panicked while holding the lock") = peer;
    }

    /// Resets all current connections.
    pub(crate) fn reset(&self) {
        self.state.reset_count.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for SoakProxy {
    fn drop(&mut self) {
        self.state.is_stopping.store(true, Ordering::SeqCst);
        // Wakes the blocking accept.
        drop(TcpStream::connect(self.address));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<ProxyState>) {
    let mut threads = Vec::new();
    for downstream in listener.incoming() {
        if state.is_stopping.load(Ordering::SeqCst) {
            break;
        }
        let downstream = downstream.expect("failed to accept a connection");
        // Accepted sockets inherit the filter of the listener.
        SockRef::from(&downstream)
            .attach_filter(&drop_packets(&[]))
            .expect("failed to attach a filter");
        let peer = downstream.peer_addr().ok().map(|peer| peer.ip());
        // The target process may not be running; dropping the accepted connection closes it.
        let Ok(upstream) = TcpStream::connect(target) else {
            continue;
        };
        for stream in [&downstream, &upstream] {
            stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
            stream
                .set_read_timeout(Some(POLL_INTERVAL))
                .expect("failed to set the read timeout");
        }
        let clone_pair = || (downstream.try_clone(), upstream.try_clone());
        for is_forward in [true, false] {
            let (Ok(downstream), Ok(upstream)) = clone_pair() else {
                continue;
            };
            let state = Arc::clone(state);
            threads.push(thread::spawn(move || match is_forward {
                true => copy(downstream, upstream, peer, &state, true),
                false => copy(upstream, downstream, peer, &state, false),
            }));
        }
        threads.retain(|thread| !thread.is_finished());
    }
    for thread in threads {
        drop(thread.join());
    }
}

/// Copies one direction until it ends or the connection is reset.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    peer: Option<IpAddr>,
    state: &ProxyState,
    is_forward: bool,
) {
    let reset_count = state.reset_count.load(Ordering::SeqCst);
    let mut buffer = vec![0; 16 << 10];
    loop {
        if state.is_stopping.load(Ordering::SeqCst)
            || state.reset_count.load(Ordering::SeqCst) != reset_count
        {
            reset_both(&from, &to);
            return;
        }
        let mode = *state
            .mode
            .lock()
            .expect("thread panicked while holding the lock");
        let cut_peer = *state
            .cut_peer
            .lock()
            .expect("thread panicked while holding the lock");
        let is_cut = cut_peer.is_some() && cut_peer == peer;
        if is_cut || is_forward && mode.blocks_forward || !is_forward && mode.blocks_backward {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let count = match from.read(&mut buffer) {
            Ok(0) => {
                // The other direction may continue; the peer may have closed the connection.
                drop(to.shutdown(std::net::Shutdown::Write));
                return;
            }
            Ok(count) => count,
            Err(error) if is_timeout(error.kind()) => continue,
            Err(_) => {
                reset_both(&from, &to);
                return;
            }
        };
        thread::sleep(mode.delay);
        if to.write_all(&buffer[..count]).is_err() {
            reset_both(&from, &to);
            return;
        }
    }
}

/// Returns whether a read ended because of the read timeout.
fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn reset_both(from: &TcpStream, to: &TcpStream) {
    for stream in [from, to] {
        // With a linger time of zero, closing sends a reset. Either peer may have closed the
        // connection already.
        drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
        drop(stream.shutdown(std::net::Shutdown::Both));
    }
}
