//! Names of all metrics of edges and registries, with what they count.

/// Requests that are over, by `kind`, `outcome` and `reason`.
pub const REQUESTS: &str = "ragwortroad_requests_total";
/// Seconds from a request's head to its answer's head, by `kind`.
pub const ANSWER_SECONDS: &str = "ragwortroad_answer_seconds";
/// Longest pause between two pieces of a stream, in seconds.
pub const STREAM_PAUSE_SECONDS: &str = "ragwortroad_stream_pause_seconds";
/// Streams that are over, by `outcome`.
pub const STREAMS: &str = "ragwortroad_streams_total";
/// Attempts at endpoints that brought no usable answer, by `reason`.
pub const FAILED_ATTEMPTS: &str = "ragwortroad_failed_attempts_total";
/// Requests sent once more, by `outcome`: made, or refused by the budget.
pub const REPEATS: &str = "ragwortroad_repeats_total";
/// Seconds for which requests waited for a place at a gate, of those that did.
pub const GATE_WAIT_SECONDS: &str = "ragwortroad_gate_wait_seconds";
/// Requests that this edge may have under way, by `service`; absent where there is no limit.
pub const GATE_LIMIT: &str = "ragwortroad_gate_limit";
/// Requests that wait for a place, by `service`.
pub const GATE_WAITING: &str = "ragwortroad_gate_waiting";
/// Requests under way.
pub const REQUESTS_IN_FLIGHT: &str = "ragwortroad_requests_in_flight";
/// Requests at an endpoint by this edge's belief as it sent one more.
pub const BELIEVED_LOAD: &str = "ragwortroad_believed_load";
/// Whether the engine chosen had read the request's shared text, by `held`.
pub const TEXT_PLACES: &str = "ragwortroad_text_places_total";
/// Version of the configuration in force here.
pub const CONFIG_VERSION: &str = "ragwortroad_config_version";
/// Registries that this edge is connected to.
pub const REGISTRIES_CONNECTED: &str = "ragwortroad_registries_connected";
/// Endpoints that take work, as known here.
pub const ENDPOINTS_READY: &str = "ragwortroad_endpoints_ready";
/// Calls at a registry, by `outcome`.
pub const CONTROL_CALLS: &str = "ragwortroad_control_calls_total";
/// Seconds from a call read at a registry to its answer, by `outcome`.
pub const CONTROL_CALL_SECONDS: &str = "ragwortroad_control_call_seconds";
/// Bytes queued for other processes of the fleet, by `kind` of message.
pub const LINK_BYTES: &str = "ragwortroad_link_bytes_total";
/// Seconds for which messages to another process waited until the connection took them.
pub const LINK_WAIT_SECONDS: &str = "ragwortroad_link_wait_seconds";
/// Connections to other processes that ended, by who was at the other end (`peer`).
pub const LINKS_LOST: &str = "ragwortroad_links_lost_total";
/// Endpoints that missed their announcements at this registry.
pub const ENDPOINTS_LOST: &str = "ragwortroad_endpoints_lost_total";
/// Edges whose home this registry is.
pub const EDGES_SUBSCRIBED: &str = "ragwortroad_edges_subscribed";
/// Changes of the leader that this registry knows of.
pub const LEADER_CHANGES: &str = "ragwortroad_leader_changes_total";
/// Voters of the group.
pub const VOTERS: &str = "ragwortroad_voters";
/// Edges that are connected to this registry.
pub const EDGES_CONNECTED: &str = "ragwortroad_edges_connected";
/// Log lines that were dropped, by `reason`: nobody read them in time, or there were too many.
pub const LOG_LINES_DROPPED: &str = "ragwortroad_log_lines_dropped_total";
