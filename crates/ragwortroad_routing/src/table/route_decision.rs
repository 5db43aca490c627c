use std::time::Duration;

use ragwortroad_types::{
    EndpointId,
    NodeId,
    RefusalCode, //
};

use crate::{
    AdmissionClass,
    SlotId, //
};

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// This node is the endpoint's home and granted a slot; send the request to the endpoint.
    Admit {
        /// The endpoint that serves the request.
        endpoint: EndpointId,
        /// Must be released with [`RouteTable::release`](crate::RouteTable::release).
        slot: SlotId,
        /// Why this endpoint was chosen.
        reason: RouteReason,
    },
    /// Ask the endpoint's home node for a slot, then pass its answer to
    /// [`RouteTable::record_answer`](crate::RouteTable::record_answer).
    AskHome {
        /// The endpoint to ask a slot for.
        endpoint: EndpointId,
        /// The node to ask.
        home: NodeId,
        /// Must be sent with the question.
        class: AdmissionClass,
        /// Why this endpoint was chosen.
        reason: RouteReason,
    },
    /// Decide again with the same query after this time; an endpoint worth waiting for is at its
    /// bound. Returned only while the query has waited less than the settings allow.
    Hold {
        /// How long to wait.
        retry_after: Duration,
    },
    /// Nothing was sent; refuse the request at once.
    Refuse {
        /// Stable reason code for the client.
        code: RefusalCode,
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
}

/// How an endpoint was found, for the timeline and for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteReason {
    /// The client's hint names it.
    Hint,
    /// This node sent the chat to it before.
    Memory,
    /// Cache events show that it holds the prompt's prefix.
    Prefix,
    /// The hash over the endpoints selected it.
    Hash,
}
