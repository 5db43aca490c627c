//! Names of headers of our own.

/// The header with the request's identity, in requests to endpoints and in every answer.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header with the chat's placement hint.
pub(crate) const PLACEMENT_HINT_HEADER: &str = "x-placement-hint";

/// Names the node that a chat's next request is best sent to.
pub(crate) const NEXT_NODE_HEADER: &str = "x-next-node";

/// Set on an answer that is given again from the record of its idempotency key.
pub(crate) const REPLAYED_HEADER: &str = "x-replayed";
