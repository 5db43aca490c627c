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
    /// Time of the last proposal or forwarding; `None` if another attempt is due.
    pub(crate) attempted_at: Option<ClockTime>,
    /// Whether a read index was requested since the order was received.
    pub(crate) is_read: bool,
    /// Read index requested since then; from there on, the state tells whether the order is in force.
    pub(crate) read_index: Option<u64>,
}
