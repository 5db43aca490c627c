use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

/// A registry that an edge can choose as its home registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Address of the registry.
    pub address: SocketAddr,
    /// Number of registries that it has contact with, including itself.
    pub hears: u32,
    /// Number of voting registries that it reports; 0 before its first report.
    pub voters: u32,
}

impl HomeCandidate {
    /// Returns whether the registry has contact with a majority; true before its first report.
    fn hears_majority(&self) -> bool {
        self.voters == 0 || self.hears * 2 > self.voters
    }
}

/// Chooses the home registry, to which an edge reports its loads and prefix locations.
///
/// Edges spread over all registries without coordination, and those of a lost registry spread over
/// the rest. If all edges chose the same one, its link would carry the reports of the whole fleet.
/// A registry that is partitioned from the others knows only the loads of its own edges, which
/// would underestimate the engines' load and overload them together with all other edges.
/// Registries with contact to a majority are therefore preferred; all edges report there during a
/// partition.
pub fn choose_home(edge: &str, candidates: &[HomeCandidate]) -> Option<SocketAddr> {
    let with_majority = candidates.iter().filter(|one| one.hears_majority());
    let with_majority = prefer_registry(edge, with_majority.map(|one| one.address));
    with_majority.or_else(|| prefer_registry(edge, candidates.iter().map(|one| one.address)))
}

/// Returns the registry that an edge prefers, by a hash of both names (rendezvous hashing).
pub fn prefer_registry(
    edge: &str,
    registries: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    registries.max_by_key(|registry| NodeId::from_name(&format!("{edge} {registry}")))
}
