use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::ControlReply;

/// A read with a known read index, waiting for the state to be applied up to it.
#[derive(Debug)]
pub(crate) struct IndexedRead {
    pub(crate) index: u64,
    pub(crate) reply: oneshot::Sender<ControlReply>,
    pub(crate) received_at: ClockTime,
}
