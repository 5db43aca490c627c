//! Names of the non-standard headers.

/// Carries the identity of the request, in requests to endpoints and in every response.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Carries the placement hint of the chat.
pub(crate) const PLACEMENT_HINT_HEADER: &str = "x-placement-hint";

/// Names the node to which the client should send the next request of the chat.
pub(crate) const NEXT_NODE_HEADER: &str = "x-next-node";

/// Marks a response that is replayed from the record of its idempotency key.
pub(crate) const REPLAYED_HEADER: &str = "x-replayed";
