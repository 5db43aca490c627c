use ragwortroad_types::prelude::*;

use crate::read_origin::ReadOrigin;

/// A read that is not proved yet.
#[derive(Debug)]
pub(crate) struct ReadWait {
    pub(crate) origin: ReadOrigin,
    pub(crate) came_at: ClockTime,
    pub(crate) tried_at: Option<ClockTime>,
}
