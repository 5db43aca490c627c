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

/// One request that wants a place.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteQuery<'query> {
    /// What must be served.
    pub offer: OfferKey,
    /// Whose request it is.
    pub customer: CustomerKey,
    /// The chat it continues.
    pub chat: Option<ChatKey>,
    /// Its prompt's prefix keys, shortest first.
    pub prefixes: &'query [PrefixKey],
    /// The engine named by the caller's hint; a wrong one costs cache reuse only.
    pub hint: Option<EndpointId>,
    /// Endpoints that failed this request before.
    pub excluded: &'query [EndpointId],
    /// Any number that differs between requests, to spread those that belong to no chat.
    pub salt: u64,
    /// Homes that answered "full" to it.
    pub refusals: u32,
    /// How long it has been held already.
    pub waited: Duration,
}
