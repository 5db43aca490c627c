use std::time::Duration;

/// Faults that a stand-in injects; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Number of requests that the faults apply to, counting chats, service requests and orders;
    /// `None` for all. Refused connections don't count.
    pub max_requests: Option<u32>,
    /// Sends fewer bytes than `Content-Length` declares, then closes the connection.
    pub truncate_body: bool,
    /// Ends streams without the final `[DONE]` marker.
    pub omit_done_marker: bool,
    /// Echoes this request id in place of the correct one.
    pub echoed_request_id: Option<String>,
    /// Sends the id of another response from this token on.
    pub foreign_id_from_token: Option<u32>,
    /// Responds with a redirect to this location.
    pub redirect_to: Option<String>,
    /// Records the request, then closes the connection without a response.
    pub close_without_response: bool,
    /// Closes the connection before the token with this index.
    pub close_after_tokens: Option<u32>,
    /// Stops sending before the token with this index, but keeps the connection open.
    pub stall_after_tokens: Option<u32>,
    /// Sends the token with this index twice.
    pub duplicate_token: Option<u32>,
    /// Omits the token with this index.
    pub skip_token: Option<u32>,
    /// Responds with this status and an error body, without running the request.
    pub status: Option<u16>,
    /// Rest that a response with [`Self::status`] asks for.
    pub rest: Option<Duration>,
    /// Delays responses by this time.
    pub response_delay: Duration,
    /// Refuses new connections and closes open ones.
    pub refuse_connections: bool,
    /// Crashes the stand-in under a request whose body contains this text: its listener closes, then
    /// all its connections.
    pub crash_on: Option<String>,
    /// Accepts orders regardless of their fencing tokens.
    pub ignore_fencing: bool,
    /// Acknowledges orders without executing them.
    pub acknowledge_only: bool,
    /// Delays the response to an accepted order by this time.
    pub order_response_delay: Duration,
}

impl FaultPlan {
    /// Whether a request with this body crashes the stand-in.
    pub(crate) fn crashes_on(&self, body: &[u8]) -> bool {
        let contains = |text: &String| String::from_utf8_lossy(body).contains(text.as_str());
        self.crash_on.as_ref().is_some_and(contains)
    }
}
