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
    /// This node is the endpoint's home and has granted a slot; send the request there.
    Admit {
        /// The endpoint.
        endpoint: EndpointId,
        /// To be given back by [`RouteTable::release`](crate::RouteTable::release).
        slot: SlotId,
        /// Why this endpoint.
        reason: RouteReason,
    },
    /// Ask the endpoint's home node for a slot, then report what it said with
    /// [`RouteTable::note_answer`](crate::RouteTable::note_answer).
    AskHome {
        /// The endpoint.
        endpoint: EndpointId,
        /// The node to ask.
        home: NodeId,
        /// To be told to it.
        class: AdmissionClass,
        /// Why this endpoint.
        reason: RouteReason,
    },
    /// Ask again with the same query after this time; a place that is worth waiting for is at its
    /// bound. The table says so only while the query has waited less than the settings allow.
    Hold {
        /// How long to wait.
        retry_after: Duration,
    },
    /// Nothing was sent; tell the caller at once.
    Refuse {
        /// The stable reason.
        code: RefusalCode,
        /// How long the caller should wait.
        retry_after: Duration,
    },
}

/// What led to an endpoint, for the time line and for measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteReason {
    /// The caller's hint named it.
    Hint,
    /// This node sent the chat there before.
    Memory,
    /// Cache events say that it holds the prompt's prefix.
    Prefix,
    /// The hash over the endpoints led to it.
    Hash,
}
