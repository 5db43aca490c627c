use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    EventKind,
    FleetEvent, //
};

/// Selects events; an empty field matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventFilter {
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events of this chat.
    pub chat: Option<ChatKey>,
    /// Only events of this customer.
    pub customer: Option<String>,
    /// Only events of this endpoint.
    pub endpoint: Option<String>,
    /// Only events of these kinds.
    pub kinds: Vec<EventKind>,
    /// Only events from this time on, in milliseconds since 1970.
    pub from_ms: Option<u64>,
    /// Only events before this time, in milliseconds since 1970.
    pub until_ms: Option<u64>,
}

impl EventFilter {
    /// Returns whether `event` matches all fields.
    pub fn matches(&self, event: &FleetEvent) -> bool {
        let wall = event.stamp.wall_ms();
        field_matches(&self.request, &event.request)
            && field_matches(&self.chat, &event.chat)
            && field_matches(&self.customer, &event.customer)
            && field_matches(&self.endpoint, &event.endpoint)
            && (self.kinds.is_empty() || self.kinds.contains(&event.kind))
            && self.from_ms.is_none_or(|from| wall >= from)
            && self.until_ms.is_none_or(|until| wall < until)
    }
}

/// Returns whether the filter is empty or equal to the event's value.
fn field_matches<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}
