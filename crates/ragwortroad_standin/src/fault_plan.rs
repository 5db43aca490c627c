use std::time::Duration;

/// How a stand-in misbehaves; by default not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Requests that the faults below apply to; all where nothing is named.
    pub requests: Option<u32>,
    /// Announces a longer body than it sends, then closes.
    pub short_body: bool,
    /// Ends a stream in good order but without the final marker.
    pub drop_marker: bool,
    /// Echoes this request id in place of the right one.
    pub echo_id: Option<String>,
    /// Goes over to another answer's chunks at this token.
    pub cross_at: Option<u32>,
    /// Answers with a redirect to this place.
    pub redirect_to: Option<String>,
    /// Runs the request and closes without an answer.
    pub close_unanswered: bool,
    /// Closes the connection after this many tokens.
    pub die_after_tokens: Option<u32>,
    /// Falls silent after this many tokens.
    pub stall_after_tokens: Option<u32>,
    /// Sends the token at this place twice.
    pub double_token: Option<u32>,
    /// Leaves out the token at this place.
    pub skip_token: Option<u32>,
    /// Answers with this status and an error body, without running anything.
    pub status: Option<u16>,
    /// Waits this long before it answers.
    pub answer_delay: Duration,
    /// Takes no connections.
    pub refuse_connections: bool,
    /// Takes orders whatever their fencing number.
    pub ignore_fencing: bool,
    /// Confirms orders and carries none out.
    pub idle_orders: bool,
    /// Waits this long before it answers an order that it has carried out.
    pub order_answer_delay: Duration,
}
