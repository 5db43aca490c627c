use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

/// A registry that an edge may take for its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Where it is.
    pub address: SocketAddr,
    /// Registries that it hears, itself among them.
    pub hears: u32,
    /// Registries that vote, by its word; none where it has not said so yet.
    pub voters: u32,
}

impl HomeCandidate {
    /// Whether it hears more than half of the registries, as far as it has said.
    fn hears_most(&self) -> bool {
        self.voters == 0 || self.hears * 2 > self.voters
    }
}

/// The registry to which an edge tells its loads and the places of its texts.
///
/// Edges divide themselves among all registries without a message, and those of a registry that is
/// lost divide themselves among the others. If all took the same one, its link would carry what the
/// whole fleet tells and is told. A registry that is cut off from the others knows the loads of its
/// own edges only: these would take the engines for empty and fill them up beside all other edges.
/// So one that hears most of the others goes first; there all edges meet while the registries are
/// cut in two.
pub fn choose_home(edge: &str, candidates: &[HomeCandidate]) -> Option<SocketAddr> {
    let whole = candidates.iter().filter(|one| one.hears_most());
    let whole = prefer_registry(edge, whole.map(|one| one.address));
    whole.or_else(|| prefer_registry(edge, candidates.iter().map(|one| one.address)))
}

/// The registry that an edge prefers: each edge ranks them by a hash of both names.
pub fn prefer_registry(
    edge: &str,
    registries: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    registries.max_by_key(|registry| NodeId::from_name(&format!("{edge} {registry}")))
}
