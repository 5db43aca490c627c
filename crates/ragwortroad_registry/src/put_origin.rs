use tokio::sync::oneshot;

use crate::{
    ControlReply,
    registry_event::LinkKey, //
};

/// The sender of a configuration.
#[derive(Debug)]
pub(crate) enum PutOrigin {
    /// An operator's call to this registry.
    Operator(oneshot::Sender<ControlReply>),
    /// Another registry, on the link that it dialled.
    Forwarded { link: LinkKey, token: u64 },
}
