use std::{
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    config_request::ConfigRequest,
    prefer_registry, //
};

/// Time without an answer after which a request for the whole configuration is sent to another
/// registry.
///
/// A large configuration takes a second over a registry's link, and a second request would have it
/// sent twice.
const FULL_CONFIG_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time without an answer after which a request for changes since the edge's version, which are
/// small, is sent to another registry.
///
/// A registry whose link is saturated or whose VM hangs keeps its connections open for seconds,
/// while sites require a change to be in force within two or three seconds.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that the edge's preferred registry has to announce a version before another one is asked.
///
/// All edges learn of a change from the leader first; if all of them asked it, its link would carry
/// every copy. Followers learn of a change one heartbeat later.
const PREFERRED_REGISTRY_DELAY: Duration = Duration::from_millis(250);

/// The same for an edge without a configuration, which cannot serve any request.
///
/// After a restart of the whole fleet, registries learn of the configuration within some tenths of
/// a second of each other, and the copies for all edges occupy the links of all registries for a
/// second. If the first registries had to send all copies, the last edges would start serving
/// seconds late.
const FIRST_CONFIG_DELAY: Duration = Duration::from_millis(400);

/// A registry that the edge is connected to.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSource {
    /// Address of the registry.
    pub address: SocketAddr,
    /// Last version that the registry has announced on this connection; `None` before the first.
    pub version: Option<u64>,
}

/// Decides when and from which registry an edge fetches the configuration in force.
///
/// Registries announce versions, and the edge asks one of them for the changes that it lacks. Edges
/// prefer different registries, so that the copies are spread over all of them. A registry that
/// does not answer is not asked twice in a row: it may be connected and overloaded, and the edge
/// would reject clients by an old configuration for as long as the connection lasts. If no other
/// registry has the version, the same one is asked for a direct copy, since the edge that it
/// referred to may be gone.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// Whether an edge without a configuration asks another registry than its preferred one as soon
    /// as most of them have announced a version.
    asks_early: bool,
    /// Highest announced version, and when it was first announced.
    announced: Option<(u64, ClockTime)>,
    /// The registry with an outstanding request, and when that was sent.
    asked: Option<(SocketAddr, ClockTime)>,
}

impl ConfigFetch {
    /// Creates the state of an edge that has just started.
    ///
    /// With `asks_early`, an edge without a configuration does not wait for its preferred registry
    /// once more than half of the connected ones have announced a version: the copies are spread
    /// over these, and after a loss of power the preferred one may start last.
    pub fn new(asks_early: bool) -> Self {
        Self {
            asks_early,
            ..Self::default()
        }
    }

    /// Records that a registry has announced a version.
    pub fn note_announced(&mut self, version: u64, now: ClockTime) {
        if self.announced.is_none_or(|(known, _)| version > known) {
            self.announced = Some((version, now));
        }
    }

    /// Records that a request was sent to a registry.
    pub fn note_asked(&mut self, registry: SocketAddr, now: ClockTime) {
        self.asked = Some((registry, now));
    }

    /// Records that the outstanding request was answered.
    pub fn note_answered(&mut self) {
        self.asked = None;
    }

    /// Records that the registry asked, or the edge that it referred to, cannot provide the
    /// configuration. The next request is due at once, preferably to another registry.
    pub fn note_failed(&mut self) {
        self.asked = self.asked.map(|(registry, _)| (registry, ClockTime::ZERO));
    }

    /// Records that the connection to a registry was lost, along with any outstanding request.
    pub fn note_lost(&mut self, registry: SocketAddr) {
        if self.asked.is_some_and(|(asked, _)| asked == registry) {
            self.asked = None;
        }
    }

    /// Returns whether no registry has announced a version above `own`.
    pub fn is_newest(&self, own: u64) -> bool {
        self.announced.is_none_or(|(known, _)| own >= known)
    }

    /// Returns the request that an edge with the version `own` has to send now, or `None` if it is
    /// up to date or has to wait.
    pub fn next(
        &self,
        edge: &str,
        own: Option<u64>,
        sources: &[ConfigSource],
        now: ClockTime,
    ) -> Option<ConfigRequest> {
        let (announced, first_at) = self.announced?;
        if own.is_some_and(|own| own >= announced) {
            return None;
        }
        let (answer_timeout, preferred_delay) = match own {
            Some(_) => (CHANGES_TIMEOUT, PREFERRED_REGISTRY_DELAY),
            None => (FULL_CONFIG_TIMEOUT, FIRST_CONFIG_DELAY),
        };
        if let Some((_, asked_at)) = self.asked
            && now.since(asked_at) < answer_timeout
        {
            return None;
        }
        let up_to_date = sources
            .iter()
            .filter(|source| source.version >= Some(announced));
        let up_to_date: Vec<SocketAddr> = up_to_date.map(|source| source.address).collect();
        let up_to_date_count = up_to_date.len();
        let unresponsive = self.asked.map(|(registry, _)| registry);
        let others = up_to_date
            .iter()
            .copied()
            .filter(|one| Some(*one) != unresponsive);
        let chosen = prefer_registry(edge, others)
            .or_else(|| prefer_registry(edge, up_to_date.into_iter()))?;
        let preferred = prefer_registry(edge, sources.iter().map(|source| source.address));
        let is_spread = up_to_date_count * 2 > sources.len();
        let is_early_start = self.asks_early && own.is_none() && is_spread;
        let may_wait = self.asked.is_none() && Some(chosen) != preferred && !is_early_start;
        let is_early = may_wait && now.since(first_at) < preferred_delay;
        (!is_early).then_some(ConfigRequest {
            registry: chosen,
            direct: Some(chosen) == unresponsive,
        })
    }
}
