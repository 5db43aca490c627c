use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

/// The registry to which an edge tells its loads and the places of its texts.
///
/// Edges rank the registries by a hash of both names, so they divide themselves among all of them
/// without a message, and those of a registry that is lost divide themselves among the others. If
/// all took the same one, its link would carry what the whole fleet tells and is told.
pub fn choose_home(edge: &str, registries: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    registries.max_by_key(|registry| NodeId::from_name(&format!("{edge} {registry}")))
}
