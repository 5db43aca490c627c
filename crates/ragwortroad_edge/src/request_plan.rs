use std::{
    cell::{
        Cell,
        OnceCell, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method,
    Request,
    Uri,
    header::HOST, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::time::Instant;

use crate::{
    RequestMetadata,
    refusal_reason::RefusalReason,
    relay_head::RelayHead, //
};

/// A parsed client request, ready to be sent to endpoints.
pub(crate) struct RequestPlan {
    /// Configuration used for the request from start to end.
    pub(crate) map: Rc<RouteMap>,
    pub(crate) route: RouteKey,
    pub(crate) customer: Option<CustomerKey>,
    pub(crate) service: String,
    pub(crate) metadata: RequestMetadata,
    /// Id of the client's attempt.
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Client headers without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Present if another edge has relayed the request to this one.
    pub(crate) relay: Option<RelayHead>,
    pub(crate) received_at: Instant,
    /// Earlier of the client's deadline and the route's timeout.
    pub(crate) deadline: Instant,
    /// Software version to which the stream is bound, since it has brought events; `None` if any
    /// version may run the request.
    pub(crate) version: Cell<Option<VersionTag>>,
    /// Computed on first use, since few requests need it.
    pub(crate) digest: OnceCell<RequestDigest>,
    /// Computed on first use.
    pub(crate) suspects: OnceCell<Vec<SuspectPart>>,
}

/// Target of a request, known before its body has arrived.
pub(crate) struct RequestTarget {
    pub(crate) route: RouteKey,
    pub(crate) customer: Option<CustomerKey>,
    pub(crate) id: String,
}

/// Finds the route and the customer of a request, and checks its API key and id.
pub(crate) fn find_target<B>(
    map: &RouteMap,
    request: &Request<B>,
    metadata: &RequestMetadata,
) -> Result<RequestTarget, RefusalReason> {
    let host = request.headers().get(HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let host = host.or(request.uri().host()).unwrap_or_default();
    let route = map.find(host, request.uri().path());
    let route = route.ok_or(RefusalReason::NoRoute)?;
    let known_customer = metadata
        .api_key
        .as_deref()
        .and_then(|key| map.customer_of(key));
    let needs_key = map.requires_keys() && !map.route(route).is_open;
    if needs_key && known_customer.is_none() {
        return Err(RefusalReason::UnknownKey);
    }
    let id = metadata.id.clone().ok_or(RefusalReason::NoIdentity)?;
    Ok(RequestTarget {
        route,
        customer: known_customer,
        id,
    })
}

impl RequestPlan {
    /// Rule of the matched route.
    pub(crate) fn rule(&self) -> &RouteRule {
        self.map.route(self.route)
    }

    /// Name of the customer who sent the request; `None` if unidentified.
    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.map.customer_name(self.customer?)
    }

    /// Number of endpoints that this edge may send the request to.
    ///
    /// The edge that relays a request counts its attempts and pays for them from its retry budget.
    pub(crate) fn max_attempts(&self) -> u32 {
        match self.relay {
            Some(_) => 1,
            None => self.rule().max_attempts,
        }
    }

    /// Longest time for which the request may be queued at a gate.
    pub(crate) fn max_gate_wait(&self) -> Duration {
        let time_left = self.deadline.saturating_duration_since(self.received_at);
        max_queue_time(self.rule().target, time_left)
    }

    /// Whether the prompt has parts that other requests may share.
    pub(crate) fn has_shared_parts(&self) -> bool {
        !self.metadata.shared_parts().is_empty()
    }

    /// What the request has in common with others and may crash endpoints: the shared parts of its
    /// prompt, and the request as a whole; nothing if it has no such part.
    pub(crate) fn suspects(&self) -> &[SuspectPart] {
        let compute = || {
            let mut suspects = self.suspect_parts();
            if !suspects.is_empty() {
                suspects.push(SuspectPart::whole(self.digest()));
            }
            suspects
        };
        self.suspects.get_or_init(compute)
    }

    /// The shared parts of the prompt as suspects, without the digest of the whole request.
    pub(crate) fn suspect_parts(&self) -> Vec<SuspectPart> {
        let parts = self.metadata.shared_parts().iter().enumerate();
        let parts = parts.map(|(position, part)| SuspectPart {
            key: self.part_key(part.key),
            // The greatest depth stands for whole requests.
            depth: position.min(usize::from(u8::MAX - 1)) as u8,
        });
        parts.collect()
    }

    /// Id of a suspect part as the client writes it, for logs.
    pub(crate) fn suspect_id(&self, suspect: SuspectPart) -> String {
        let mut parts = self.metadata.shared_parts().iter();
        let part = parts.find(|part| self.part_key(part.key) == suspect.key);
        part.map_or_else(
            || format!("content {}", self.digest()),
            |part| format!("part {:x}", part.key),
        )
    }

    fn part_key(&self, part: u64) -> PartKey {
        let model = self.metadata.model.as_deref().unwrap_or_default();
        PartKey::new(&self.service, model, part)
    }

    /// Digest of the customer, the host, the path and the body.
    pub(crate) fn digest(&self) -> RequestDigest {
        let compute = || {
            let customer = self.customer_name();
            let host = self
                .headers
                .get(HOST)
                .map_or(&b""[..], |value| value.as_bytes());
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            RequestDigest::from_parts([
                customer.unwrap_or_default().as_bytes(),
                host,
                self.method.as_str().as_bytes(),
                path.as_bytes(),
                &self.body,
            ])
        };
        *self.digest.get_or_init(compute)
    }
}
