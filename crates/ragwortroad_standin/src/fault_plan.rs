use std::time::Duration;

/// How a stand-in misbehaves; by default not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Requests that the faults below apply to; all where nothing is named.
    pub max_requests: Option<u32>,
    /// Announces a longer body than it sends, then closes.
    pub truncate_body: bool,
    /// Ends a stream in good order but without the final marker.
    pub omit_done_marker: bool,
    /// Echoes this request id in place of the right one.
    pub echoed_request_id: Option<String>,
    /// Goes over to another answer's chunks at this token.
    pub foreign_id_from_token: Option<u32>,
    /// Answers with a redirect to this place.
    pub redirect_to: Option<String>,
    /// Runs the request and closes without an answer.
    pub close_without_response: bool,
    /// Closes the connection after this many tokens.
    pub close_after_tokens: Option<u32>,
    /// Falls silent after this many tokens.
    pub stall_after_tokens: Option<u32>,
    /// Sends the token at this place twice.
    pub duplicate_token: Option<u32>,
    /// Leaves out the token at this place.
    pub skip_token: Option<u32>,
    /// Answers with this status and an error body, without running anything.
    pub status: Option<u16>,
    /// Waits this long before it answers.
    pub response_delay: Duration,
    /// Takes no connections.
    pub refuse_connections: bool,
    /// Takes orders whatever their fencing number.
    pub ignore_fencing: bool,
    /// Confirms orders and carries none out.
    pub acknowledge_only: bool,
    /// Waits this long before it answers an order that it has carried out.
    pub order_response_delay: Duration,
}
