use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::put_origin::PutOrigin;

/// A configuration on its way into the log.
#[derive(Debug)]
pub(crate) struct QueuedPut {
    /// The configuration, whole.
    pub(crate) step: ConfigDelta,
    pub(crate) origin: PutOrigin,
    /// When its sender is told that it was not done.
    pub(crate) deadline: ClockTime,
    /// When it was proposed_put or passed on last; nothing if it has to be done again.
    pub(crate) attempted_at: Option<ClockTime>,
}
