//! Which software version began a stream, so that it goes on at no other.
//!
//! While the endpoints of a service run several versions, an edge reports the version of each stream
//! to a few registries before the client gets the first event, and any edge asks the registries when
//! the client takes the stream up again. While there is one version, nothing is reported.

use std::{
    cmp::Reverse,
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::time::{
    Instant,
    sleep_until,
    timeout_at, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    request_plan::RequestPlan, //
};

/// Number of registries that remember each stream.
const ORIGIN_COPIES: usize = 3;

/// Time for which a registry's answer is awaited before it is asked again.
///
/// The report of a stream may arrive after the first question, since it comes from another edge.
const ANSWER_WAIT: Duration = Duration::from_millis(100);

/// Longest time for which a resumed stream waits until its version is known.
const LOOKUP_WAIT: Duration = Duration::from_millis(600);

/// Removes a question once nobody waits for its answers.
struct QuestionGuard<'a> {
    shared: &'a EdgeShared,
    token: u64,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        state.origin_questions.close(self.token);
    }
}

/// Records the software version that brings the first event of a stream, and binds the stream to it.
pub(crate) fn note_begun(shared: &EdgeShared, plan: &RequestPlan, version: Option<VersionTag>) {
    plan.version.set(version);
    if !plan.rule().is_repeatable() || plan.relay.is_some() {
        return;
    }
    let stream = StreamKey::of(plan.customer_name(), &plan.id);
    let origin = StreamOrigin { stream, version };
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    state.origins.note(origin, now);
    if state.has_several_versions(ServiceTag::of(&plan.service)) {
        state.send_origin(origin);
    }
}

/// Finds the software version at which a stream that a client takes up again must go on.
///
/// Returns `None` if it cannot be learned in time.
pub(crate) async fn find_version(
    shared: &EdgeShared,
    stream: Option<StreamKey>,
    service: &str,
    deadline: Instant,
) -> Option<VersionTag> {
    let service = ServiceTag::of(service);
    let time_left = deadline.saturating_duration_since(Instant::now());
    let give_up_at = Instant::now() + LOOKUP_WAIT.max(shared.start_wait(time_left));
    let give_up_at = give_up_at.min(deadline);
    let (token, mut answers) = shared.state.borrow_mut().origin_questions.open();
    let _guard = QuestionGuard { shared, token };
    let mut lookup = OriginLookup::default();
    loop {
        let now = shared.now();
        let own = stream.and_then(|stream| shared.state.borrow().origins.find(stream, now));
        if let Some(origin) = own {
            log_search(stream, "own record", &lookup, origin.version);
            return origin.version;
        }
        let asked = shared.state.borrow().ask_origin(token, stream, service);
        let round_ends_at = give_up_at.min(Instant::now() + ANSWER_WAIT);
        let mut answered = 0;
        while answered < asked
            && let Ok(Some((source, answer))) = timeout_at(round_ends_at, answers.recv()).await
        {
            answered += 1;
            lookup.add(source, answer);
            match lookup.recorded() {
                OriginFinding::Version(version) => {
                    log_search(stream, "record", &lookup, Some(version));
                    return Some(version);
                }
                OriginFinding::Ambiguous => {
                    log_search(stream, "several records", &lookup, None);
                    return None;
                }
                OriginFinding::Open => {}
            }
        }
        {
            let state = shared.state.borrow();
            let own = state.service_versions(service).into_iter();
            let only = lookup.only_version(own, state.version_quorum.voters());
            if only.is_some() {
                log_search(stream, "only version", &lookup, only);
                return only;
            }
        }
        if Instant::now() >= give_up_at {
            log_search(stream, "nothing", &lookup, None);
            return None;
        }
        sleep_until(round_ends_at).await;
    }
}

/// Logs on what basis the version of a resumed stream was found.
fn log_search(
    stream: Option<StreamKey>,
    basis: &'static str,
    lookup: &OriginLookup,
    version: Option<VersionTag>,
) {
    let stream = stream.map(|stream| stream.0);
    let (answers, complete) = (lookup.answer_count(), lookup.complete_count());
    tracing::info!(
        stream,
        basis,
        answers,
        complete,
        ?version,
        "searched for the version of a resumed stream"
    );
}

impl EdgeState {
    /// Records the software version of an endpoint.
    pub(crate) fn note_version(&mut self, version: VersionTag, now: ClockTime) {
        if self.versions.note(version, now) {
            self.update_mixed_services(now);
        }
    }

    /// Keeps the versions of the endpoints among the recent ones.
    pub(crate) fn refresh_versions(&mut self, now: ClockTime) {
        for version in self.endpoints.versions() {
            self.versions.note(version, now);
        }
        self.versions.expire(now);
        self.origins.expire(now);
        self.update_mixed_services(now);
    }

    /// Tells the registries of all streams that may come back if a service has several versions now.
    pub(crate) fn update_mixed_services(&mut self, now: ClockTime) {
        let known = self.versions.all().chain(self.version_quorum.all());
        let known: BTreeSet<VersionTag> = known.collect();
        let services: Vec<ServiceTag> = known.iter().map(|version| version.service).collect();
        let mixed = services.windows(2).filter(|pair| pair[0] == pair[1]);
        let mixed: BTreeSet<ServiceTag> = mixed.map(|pair| pair[0]).collect();
        let is_further = mixed.difference(&self.mixed_services).next().is_some();
        self.mixed_services = mixed;
        if !is_further {
            return;
        }
        tracing::info!(services = ?self.mixed_services, "services have several software versions");
        let sources: Vec<SourceKey> = self.links.keys().copied().collect();
        for source in sources {
            self.send_origins(source, now);
        }
    }

    /// Whether streams of a service may have begun at several versions.
    fn has_several_versions(&self, service: ServiceTag) -> bool {
        self.mixed_services.contains(&service)
    }

    /// Software versions of a service that this edge has seen, or that any registry keeps.
    fn service_versions(&self, service: ServiceTag) -> BTreeSet<VersionTag> {
        let kept = self.version_quorum.versions(service);
        self.versions.versions(service).chain(kept).collect()
    }

    /// Tells a registry of the streams that it has to remember, if any service has several versions.
    pub(crate) fn send_origins(&self, source: SourceKey, now: ClockTime) {
        let seen = self.versions.all();
        let versions = seen.filter(|version| self.has_several_versions(version.service));
        let versions: Vec<VersionTag> = versions.collect();
        let link = self.links.get(&source);
        let link = link.filter(|_| !versions.is_empty());
        let Some((address, queue)) =
            link.and_then(|link| Some((link.address, link.queue.as_ref()?)))
        else {
            return;
        };
        let recent = self.origins.recent(STREAM_MEMORY, now);
        let of_mixed = recent.filter(|origin| {
            let version = origin.version;
            version.is_none_or(|version| self.has_several_versions(version.service))
        });
        let own = of_mixed.filter(|origin| self.keepers(origin.stream).contains(&address));
        let origins = own.collect();
        queue.send(&LinkMessage::StreamOrigins { versions, origins });
    }

    /// Tells the registries that have to remember a stream of it.
    fn send_origin(&self, origin: StreamOrigin) {
        let message = LinkMessage::StreamOrigins {
            versions: Vec::new(),
            origins: vec![origin],
        };
        let keepers = self.keepers(origin.stream);
        let links = self.links.values();
        let links = links.filter(|link| keepers.contains(&link.address));
        for queue in links.filter_map(|link| link.queue.as_ref()) {
            queue.send(&message);
        }
    }

    /// Addresses of the registries that remember a stream, among those that are connected.
    fn keepers(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let links = self.links.values().filter(|link| link.queue.is_some());
        let mut keepers: Vec<SocketAddr> = links.map(|link| link.address).collect();
        keepers.sort_by_cached_key(|address| {
            Reverse(xxh3_64_with_seed(address.to_string().as_bytes(), stream.0))
        });
        keepers.truncate(ORIGIN_COPIES);
        keepers
    }

    /// Asks all registries which version began a stream; returns how many were asked.
    fn ask_origin(&self, token: u64, stream: Option<StreamKey>, service: ServiceTag) -> usize {
        let message = LinkMessage::WantOrigin {
            token,
            stream,
            service,
        };
        let mut asked = 0;
        for queue in self.links.values().filter_map(|link| link.queue.as_ref()) {
            queue.send(&message);
            asked += 1;
        }
        asked
    }
}
