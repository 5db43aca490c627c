use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

/// Another registry.
#[derive(Debug, Default)]
pub(crate) struct PeerEntry {
    /// Outbound queue; absent while disconnected.
    pub(crate) queue: Option<LinkQueue>,
    /// The most recent hello and the time of its receipt.
    pub(crate) hello: Option<(MemberHello, ClockTime)>,
}
