//! Names and labels of all metrics that edges and registries export.

/// Completed requests, by `kind`, `outcome` and `reason`.
pub const REQUESTS: &str = "ragwortroad_requests_total";
/// Seconds from receiving a request's head to sending its response head, by `kind`.
pub const ANSWER_SECONDS: &str = "ragwortroad_answer_seconds";
/// Longest pause in seconds between two chunks of one stream.
pub const STREAM_PAUSE_SECONDS: &str = "ragwortroad_stream_pause_seconds";
/// Completed streams, by `outcome`.
pub const STREAMS: &str = "ragwortroad_streams_total";
/// Responses that were cut off since their endpoints sent more than an edge holds of them, by `form`.
pub const OVERSIZED_RESPONSES: &str = "ragwortroad_oversized_responses_total";
/// Silences of endpoints in the middle of a stream, by `outcome`: `spoke_again`, `moved` to another
/// endpoint, `broken` or `left` by the client.
pub const STREAM_SILENCES: &str = "ragwortroad_stream_silences_total";
/// Attempts at endpoints that produced no usable response, by `reason`.
pub const FAILED_ATTEMPTS: &str = "ragwortroad_failed_attempts_total";
/// Retry decisions, by `outcome`: `made`, or `over_budget` if the retry budget denied the retry.
pub const REPEATS: &str = "ragwortroad_repeats_total";
/// Crashes of endpoints that this edge observed under its requests: each request that was running
/// counts once.
pub const REQUEST_CRASHES: &str = "ragwortroad_request_crashes_total";
/// Requests that this edge sends to no endpoint, because endpoints have crashed under them.
pub const REQUESTS_QUARANTINED: &str = "ragwortroad_requests_quarantined";
/// Seconds that requests spent queued at an admission gate; requests admitted at once are not
/// recorded.
pub const GATE_WAIT_SECONDS: &str = "ragwortroad_gate_wait_seconds";
/// Maximum number of concurrent requests from this edge, by `service`; absent if there is no limit.
pub const GATE_LIMIT: &str = "ragwortroad_gate_limit";
/// Requests queued at the admission gate, by `service`.
pub const GATE_WAITING: &str = "ragwortroad_gate_waiting";
/// Slots of a service that a customer of weight 1 may hold in the fleet, by `service`; infinite while
/// there is room for all.
pub const CUSTOMER_LEVEL: &str = "ragwortroad_customer_level";
/// Requests refused because their customer's share of a service was used up, by `service` and
/// `customer`.
pub const CUSTOMER_REFUSALS: &str = "ragwortroad_customer_refusals_total";
/// Bytes of request and response bodies that this edge holds.
pub const BODY_BYTES: &str = "ragwortroad_body_bytes";
/// Clients that this edge disconnected because their unfinished bodies took the room of others.
pub const SLOW_CLIENTS_DISCONNECTED: &str = "ragwortroad_slow_clients_disconnected_total";
/// Requests whose client connections ended before the response was complete, by `cause`:
/// `client_left`, `head_timeout`, `invalid_request`, `response_failed`, `slow_client`,
/// `process_end` or `closed`.
pub const UNANSWERED_REQUESTS: &str = "ragwortroad_unanswered_requests_total";
/// Requests currently in flight.
pub const REQUESTS_IN_FLIGHT: &str = "ragwortroad_requests_in_flight";
/// Estimated number of requests at the chosen endpoint when this edge sent another one there.
pub const BELIEVED_LOAD: &str = "ragwortroad_believed_load";
/// Requests with a prompt prefix, by `held`: whether the chosen engine already had the shared
/// prefix cached.
pub const TEXT_PLACES: &str = "ragwortroad_text_places_total";
/// Version of the configuration that is in force in this process.
pub const CONFIG_VERSION: &str = "ragwortroad_config_version";
/// Registries to which this edge is connected.
pub const REGISTRIES_CONNECTED: &str = "ragwortroad_registries_connected";
/// Endpoints that accept work according to this edge.
pub const ENDPOINTS_READY: &str = "ragwortroad_endpoints_ready";
/// Services of which this edge reaches no endpoint, so that other edges take its requests.
pub const SERVICES_CUT_OFF: &str = "ragwortroad_services_cut_off";
/// Requests that this edge relayed to another one, by `outcome`: `answered`, `not_sent`, `not_run`
/// or `unknown`.
pub const RELAYED_REQUESTS: &str = "ragwortroad_relayed_requests_total";
/// Requests for contended scarce services that this edge led to the keeper of an endpoint, by
/// `outcome`: `answered`, `full`, `unreachable`, `not_run` or `unknown`.
pub const LED_REQUESTS: &str = "ragwortroad_led_requests_total";
/// Scarce services that have too little room, as far as this edge knows.
pub const SERVICES_CONTENDED: &str = "ragwortroad_services_contended";
/// Endpoints whose places this edge keeps.
pub const ENDPOINTS_KEPT: &str = "ragwortroad_endpoints_kept";
/// Endpoints that have asked this edge for a rest that is not over.
pub const ENDPOINTS_RESTING: &str = "ragwortroad_endpoints_resting";
/// Endpoints that tell that work takes notably longer than usual at this moment.
pub const ENDPOINTS_SLOW: &str = "ragwortroad_endpoints_slow";
/// Requests refused because they cannot end before their clients leave.
pub const WORK_REFUSALS: &str = "ragwortroad_work_refusals_total";
/// Control API calls at a registry, by `outcome`.
pub const CONTROL_CALLS: &str = "ragwortroad_control_calls_total";
/// Control API calls whose connections ended before the response was written, by `cause`:
/// `client_left` or `process_end`.
pub const UNANSWERED_CALLS: &str = "ragwortroad_unanswered_calls_total";
/// Seconds from reading a control API call at a registry to sending its response, by `outcome`.
pub const CONTROL_CALL_SECONDS: &str = "ragwortroad_control_call_seconds";
/// Bytes queued for other processes of the fleet, by message `kind`.
pub const LINK_BYTES: &str = "ragwortroad_link_bytes_total";
/// Seconds that messages to another process waited in the queue before they were written to the
/// socket.
pub const LINK_WAIT_SECONDS: &str = "ragwortroad_link_wait_seconds";
/// Connections to other processes that ended, by the role of the peer (`peer`).
pub const LINKS_LOST: &str = "ragwortroad_links_lost_total";
/// Endpoints that this registry marked as lost because their announcements stopped.
pub const ENDPOINTS_LOST: &str = "ragwortroad_endpoints_lost_total";
/// Edges that use this registry as their home.
pub const EDGES_SUBSCRIBED: &str = "ragwortroad_edges_subscribed";
/// Leader changes that this registry has observed.
pub const LEADER_CHANGES: &str = "ragwortroad_leader_changes_total";
/// Starts of this registry in which the disks of a quorum proved its state before there was a leader.
pub const STATES_RECALLED: &str = "ragwortroad_states_recalled_total";
/// Voters of the consensus group.
pub const VOTERS: &str = "ragwortroad_voters";
/// Voters that this registry has heard from recently, itself included.
pub const VOTERS_HEARD: &str = "ragwortroad_voters_heard";
/// Voters needed to bear the losses that the settings tolerate.
pub const VOTERS_NEEDED: &str = "ragwortroad_voters_needed";
/// 1 if this registry knows a leader, otherwise 0.
pub const HAS_LEADER: &str = "ragwortroad_has_leader";
/// Messages of members that were ignored because a later start of the member is known.
pub const STALE_STARTS: &str = "ragwortroad_stale_starts_total";
/// Edges connected to this registry.
pub const EDGES_CONNECTED: &str = "ragwortroad_edges_connected";
/// Dropped log lines, by `reason`: the reader was too slow (`unread`), or the rate limit applied
/// (`limit`).
pub const LOG_LINES_DROPPED: &str = "ragwortroad_log_lines_dropped_total";
