use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

use crate::TicketId;

/// The control thread's answer to an [`AdmitCall`](crate::AdmitCall).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitReply {
    /// Send it to the endpoint in the grant.
    Granted(AdmitGrant),
    /// The same idempotency key ran before; this was its answer.
    Recorded(RecordedResponse),
    /// Give the caller this refusal, at once.
    Refused(RefusalWire),
}

/// Leave to send one attempt to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmitGrant {
    /// To be given back by a [`FinishCall`](crate::FinishCall), whatever happens.
    pub ticket: TicketId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// Placement hint to hand to the caller with the answer.
    pub hint: String,
    /// The node that admits to the endpoint, for the caller's next request of the same chat.
    pub next_node: Option<SocketAddr>,
    /// The engine's scheduling priority: smaller goes first.
    pub priority: u8,
    /// The model's version the engine must use, for a model request.
    pub version: Option<String>,
    /// The customer's name, for the log and the endpoint.
    pub customer: String,
    /// Whether the attempt's answer must be handed back with the finish, to be recorded.
    pub record_response: bool,
}

/// A whole answer small enough to be kept under its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// The Content-Type header.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}
