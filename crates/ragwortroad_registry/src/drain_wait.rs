use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::ControlReply;

/// An order whose operator waits.
#[derive(Debug)]
pub(crate) struct DrainWait {
    pub(crate) order: DrainOrder,
    pub(crate) reply: oneshot::Sender<ControlReply>,
    pub(crate) came_at: ClockTime,
    pub(crate) tried_at: ClockTime,
}
