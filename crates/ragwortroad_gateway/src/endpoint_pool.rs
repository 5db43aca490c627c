use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::endpoint_link::EndpointLink;

/// Maximum number of idle links per endpoint.
const MAX_IDLE_LINKS: usize = 8;

/// Lifetime of an idle link; shorter than the idle timeouts that servers commonly have.
const IDLE_LINK_TTL: Duration = Duration::from_secs(4);

/// Idle connections to endpoints, for idempotent requests only.
///
/// An endpoint may close an idle connection just as a request is written to it, and then the
/// gateway cannot tell whether the request ran. An idempotent request is simply retried. A
/// non-idempotent one would end as unknown without need, so it always gets a fresh connection,
/// where a failure to open proves that nothing was sent.
#[derive(Default)]
pub(crate) struct EndpointPool {
    /// Invariant: the most recently used link of an endpoint is last.
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, EndpointLink)>>>,
}

impl EndpointPool {
    /// Takes the most recently used idle link to `address` that is still open.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<EndpointLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&address)?;
        while let Some((idle_since, link)) = links.pop() {
            if idle_since.elapsed() < IDLE_LINK_TTL && link.is_ready() {
                return Some(link);
            }
        }
        idle.remove(&address);
        None
    }

    /// Returns a link to the pool after its exchange; drops it if the endpoint has enough idle
    /// links.
    pub(crate) fn put(&self, mut link: EndpointLink) {
        link.mark_used();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(link.address()).or_default();
        links.retain(|(idle_since, link)| idle_since.elapsed() < IDLE_LINK_TTL && link.is_ready());
        if links.len() < MAX_IDLE_LINKS {
            links.push((Instant::now(), link));
        }
    }

    /// Closes every idle link.
    pub(crate) fn clear(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }
}
