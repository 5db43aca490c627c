use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

use crate::TicketId;

/// The control thread's reply to an [`AdmitCall`](crate::AdmitCall).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitReply {
    /// Send the attempt to the endpoint in the grant.
    Granted(AdmitGrant),
    /// An earlier request with the same idempotency key ran; this is its recorded response.
    Recorded(RecordedResponse),
    /// Send this refusal to the client, without a further attempt.
    Refused(RefusalWire),
}

/// Permission to send one attempt to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmitGrant {
    /// Identifies the attempt; a [`FinishCall`](crate::FinishCall) must return it whatever the
    /// outcome.
    pub ticket: TicketId,
    /// The endpoint to send the attempt to.
    pub endpoint: EndpointId,
    /// The address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Placement hint to return to the client with the response.
    pub hint: String,
    /// The node that admits requests to the endpoint; the client should send the next request of
    /// the same chat there.
    pub next_node: Option<SocketAddr>,
    /// Scheduling priority in the engine; a smaller number runs first.
    pub priority: u8,
    /// The model version that the engine must use; set only for a model request.
    pub version: Option<String>,
    /// Version of the endpoint's software; `None` if it announces none.
    pub build: Option<String>,
    /// The customer's name, for the log and for the endpoint.
    pub customer: String,
    /// Whether the [`FinishCall`](crate::FinishCall) must carry the response, so that it is
    /// recorded.
    pub record_response: bool,
}

/// A complete response that is recorded under its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// The Content-Type header.
    pub content_type: String,
    /// The complete body.
    pub body: Vec<u8>,
}
