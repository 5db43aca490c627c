use std::{
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    config_request::ConfigRequest,
    prefer_registry, //
};

/// Time after which a whole configuration that was asked for is asked of another registry.
///
/// A large one takes a second over a registry's link, and asking twice would send it twice.
const ASK_AGAIN_WHOLE: Duration = Duration::from_millis(1200);

/// The same for the steps from a configuration that the edge has, which are small.
///
/// A registry whose link is choked or whose VM hangs keeps its connections for seconds; sites bound
/// the time until a change is in force to two or three.
const ASK_AGAIN_STEPS: Duration = Duration::from_millis(500);

/// Time that an edge's own registry has to announce a version before another is asked.
///
/// All edges hear of a change from the leader first; if all asked it, its link would carry every
/// copy. A registry that follows knows of a change a heartbeat later.
const OWN_REGISTRY_TIME: Duration = Duration::from_millis(250);

/// The same for an edge that has no configuration and cannot serve anybody.
///
/// After a common restart registries learn of the configuration within some tenths of a second of
/// each other, and copies for all edges take the links of all of them a second. If the first ones
/// were asked for all copies, the last edges would serve seconds late.
const FIRST_CONFIG_TIME: Duration = Duration::from_millis(400);

/// A registry that an edge is connected to.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSource {
    /// Where it is.
    pub address: SocketAddr,
    /// The version that it has announced on this connection.
    pub version: Option<u64>,
}

/// How an edge comes by the configuration in force.
///
/// Registries announce versions; the edge asks one of them for what it lacks. Each edge prefers
/// another registry, so that all of them carry a part of the copies. One that does not answer is
/// not asked twice in a row: it may be connected and choked, and the edge would refuse callers
/// by an old configuration for as long as it keeps the connection. Where it is the only one that
/// can be asked, it is asked for a copy of its own: the edge that it named last time may be gone.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// Highest version that a registry has announced, and when it was first.
    announced: Option<(u64, ClockTime)>,
    /// The registry that was asked last, and when, while its answer is awaited.
    asked: Option<(SocketAddr, ClockTime)>,
}

impl ConfigFetch {
    /// A registry has announced a version.
    pub fn note_announced(&mut self, version: u64, now: ClockTime) {
        if self.announced.is_none_or(|(known, _)| version > known) {
            self.announced = Some((version, now));
        }
    }

    /// A registry was asked.
    pub fn note_asked(&mut self, registry: SocketAddr, now: ClockTime) {
        self.asked = Some((registry, now));
    }

    /// A registry has answered.
    pub fn note_answered(&mut self) {
        self.asked = None;
    }

    /// Who was asked, or whom that one named, cannot give it; another registry is asked at once.
    pub fn note_failed(&mut self) {
        self.asked = self.asked.map(|(registry, _)| (registry, ClockTime::ZERO));
    }

    /// The connection to a registry has ended, which may have been asked.
    pub fn note_lost(&mut self, registry: SocketAddr) {
        if self.asked.is_some_and(|(asked, _)| asked == registry) {
            self.asked = None;
        }
    }

    /// Whether no registry has announced a version above `own`.
    pub fn is_newest(&self, own: u64) -> bool {
        self.announced.is_none_or(|(known, _)| own >= known)
    }

    /// What an edge with the version `own` is to ask now, if anything.
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
        let (ask_again, patience) = match own {
            Some(_) => (ASK_AGAIN_STEPS, OWN_REGISTRY_TIME),
            None => (ASK_AGAIN_WHOLE, FIRST_CONFIG_TIME),
        };
        if let Some((_, asked_at)) = self.asked
            && now.since(asked_at) < ask_again
        {
            return None;
        }
        let able = sources
            .iter()
            .filter(|source| source.version >= Some(announced));
        let able: Vec<SocketAddr> = able.map(|source| source.address).collect();
        let silent = self.asked.map(|(registry, _)| registry);
        let others = able.iter().copied().filter(|one| Some(*one) != silent);
        let chosen =
            prefer_registry(edge, others).or_else(|| prefer_registry(edge, able.into_iter()))?;
        let preferred = prefer_registry(edge, sources.iter().map(|source| source.address));
        let may_wait = self.asked.is_none() && Some(chosen) != preferred;
        let is_early = may_wait && now.since(first_at) < patience;
        (!is_early).then_some(ConfigRequest {
            registry: chosen,
            direct: Some(chosen) == silent,
        })
    }
}
