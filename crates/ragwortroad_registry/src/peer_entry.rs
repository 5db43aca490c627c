use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

/// Another registry.
#[derive(Debug, Default)]
pub(crate) struct PeerEntry {
    /// Takes what it is told, while it is connected.
    pub(crate) queue: Option<LinkQueue>,
    /// What it said of itself last, and when.
    pub(crate) hello: Option<(MemberHello, ClockTime)>,
}
