use ragwortroad_types::prelude::*;

use crate::read_origin::ReadOrigin;

/// A read that has no read index yet.
#[derive(Debug)]
pub(crate) struct QueuedRead {
    pub(crate) origin: ReadOrigin,
    pub(crate) received_at: ClockTime,
    pub(crate) attempted_at: Option<ClockTime>,
}
