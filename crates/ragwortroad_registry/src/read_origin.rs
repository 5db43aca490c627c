use tokio::sync::oneshot;

use crate::{
    ControlReply,
    registry_event::LinkKey, //
};

/// Who wants a proof that a read is current.
#[derive(Debug)]
pub(crate) enum ReadOrigin {
    /// An operator.
    Operator(oneshot::Sender<ControlReply>),
    /// Another registry, on its connection to here.
    Asked { link: LinkKey, token: u64 },
}
