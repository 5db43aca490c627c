use std::time::Duration;

use ragwortroad_types::{
    ChatKey,
    EndpointId,
    PrefixKey, //
};

use crate::{
    CustomerKey,
    OfferKey, //
};

/// A request to be routed.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteQuery<'query> {
    /// What the endpoint must serve.
    pub offer: OfferKey,
    /// The customer that sent the request.
    pub customer: CustomerKey,
    /// The chat that the request continues; absent for a request that belongs to none.
    pub chat: Option<ChatKey>,
    /// Prefix keys of the prompt, the shortest first.
    pub prefixes: &'query [PrefixKey],
    /// The engine in the client's hint. A wrong one only costs cache reuse.
    pub hint: Option<EndpointId>,
    /// Endpoints that already failed this request.
    pub excluded: &'query [EndpointId],
    /// A number that differs between requests and distributes those without a chat.
    pub salt: u64,
    /// Homes that refused this request because the endpoint was full.
    pub refusals: u32,
    /// How long the request has been held so far.
    pub waited: Duration,
}
