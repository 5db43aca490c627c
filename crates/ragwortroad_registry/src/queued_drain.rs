use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::ControlReply;

/// A drain order whose operator waits for a response.
#[derive(Debug)]
pub(crate) struct QueuedDrain {
    pub(crate) order: DrainOrder,
    pub(crate) reply: oneshot::Sender<ControlReply>,
    pub(crate) received_at: ClockTime,
    pub(crate) attempted_at: ClockTime,
}
