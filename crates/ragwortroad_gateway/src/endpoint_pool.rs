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

/// Idle links kept for one endpoint.
const MAX_IDLE_LINKS: usize = 8;

/// How long an idle link is kept; below the idle limits that servers commonly have.
const IDLE_LINK_TTL: Duration = Duration::from_secs(4);

/// Idle connections to endpoints, for idempotent requests only.
///
/// An endpoint may close an idle connection just as a request is written to it, and then nobody
/// can tell whether the request ran. For an idempotent request that costs a second attempt. A
/// non-idempotent one would end as unknown without need, so it always gets a fresh connection,
/// whose failure to open is proof that nothing was sent.
#[derive(Default)]
pub(crate) struct EndpointPool {
    /// Invariant: the youngest link of an endpoint stands last.
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, EndpointLink)>>>,
}

impl EndpointPool {
    /// The youngest idle link to `address` that is still open.
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

    /// Keeps a link whose exchange is over.
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
