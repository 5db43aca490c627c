use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::put_origin::PutOrigin;

/// A configuration that is to be committed to the log.
#[derive(Debug)]
pub(crate) struct QueuedPut {
    /// The full configuration, packed without a base.
    pub(crate) delta: ConfigDelta,
    pub(crate) origin: PutOrigin,
    /// When the sender is told that the configuration was not committed.
    pub(crate) deadline: ClockTime,
    /// Time of the last proposal or forwarding; `None` if another attempt is due.
    pub(crate) attempted_at: Option<ClockTime>,
}
