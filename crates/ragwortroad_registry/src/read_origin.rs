use tokio::sync::oneshot;

use crate::{
    ControlReply,
    registry_event::LinkKey, //
};

/// The sender of a read index request.
#[derive(Debug)]
pub(crate) enum ReadOrigin {
    /// An operator's call to this registry.
    Operator(oneshot::Sender<ControlReply>),
    /// Another registry, on the link that it dialled.
    Asked { link: LinkKey, token: u64 },
    /// A queued drain order that the state here already has.
    Drain { order: u64 },
}
