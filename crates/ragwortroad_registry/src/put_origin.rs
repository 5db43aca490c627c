use tokio::sync::oneshot;

use crate::{
    ControlReply,
    registry_event::LinkKey, //
};

/// Who wants a configuration put.
#[derive(Debug)]
pub(crate) enum PutOrigin {
    /// An operator.
    Operator(oneshot::Sender<ControlReply>),
    /// Another registry, on its connection to here.
    Forwarded { link: LinkKey, token: u64 },
}
