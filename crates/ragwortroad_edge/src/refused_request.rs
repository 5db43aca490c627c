use tokio::time::Instant;

use crate::refusal_reason::RefusalReason;

/// A request that is refused before its body has been read, or while it is read.
#[derive(Clone, Debug)]
pub(crate) struct RefusedRequest {
    pub(crate) reason: RefusalReason,
    /// Id of the client's attempt; `None` if it sent none.
    pub(crate) id: Option<String>,
    /// When the client stops to wait for a response.
    pub(crate) client_deadline: Instant,
}
