use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::put_origin::PutOrigin;

/// A configuration on its way into the log.
#[derive(Debug)]
pub(crate) struct PutWait {
    /// The configuration, whole.
    pub(crate) step: ConfigDelta,
    pub(crate) origin: PutOrigin,
    /// When its sender is told that it was not done.
    pub(crate) ends_at: ClockTime,
    /// When it was proposed or passed on last; nothing if it has to be done again.
    pub(crate) tried_at: Option<ClockTime>,
}
