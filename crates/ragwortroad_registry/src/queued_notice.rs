use ragwortroad_dispatch::prelude::*;
use tokio::sync::oneshot;

use crate::ControlReply;

/// An endpoint's report that it leaves, which is acknowledged once another registry has it too.
#[derive(Debug)]
pub(crate) struct QueuedNotice {
    pub(crate) change: RegistryChange,
    pub(crate) reply: oneshot::Sender<ControlReply>,
}
