use std::{
    collections::BTreeSet,
    net::SocketAddr, //
};

use ragwortroad_types::prelude::*;

use crate::queued_notice::QueuedNotice;

/// Notices that were sent to other registries together.
#[derive(Debug)]
pub(crate) struct NoticeBatch {
    pub(crate) notices: Vec<QueuedNotice>,
    /// Other registries that keep the notices.
    pub(crate) keepers: BTreeSet<SocketAddr>,
    pub(crate) sent_at: ClockTime,
    /// Whether it was sent to all registries for publication.
    pub(crate) is_repeated: bool,
}
