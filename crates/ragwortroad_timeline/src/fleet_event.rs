use std::fmt;

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    EventKind,
    HybridTime, //
};

/// An event on a node.
///
/// Built from [`FleetEvent::new`] with struct update syntax; fields that do not apply stay empty.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetEvent {
    /// Time of the event by the node's hybrid clock.
    pub stamp: HybridTime,
    /// Number of the event on its node, starting at 1; set by the [`EventRing`](crate::EventRing).
    pub sequence: u64,
    /// What happened.
    pub kind: EventKind,
    /// Name of the node or operator that caused the event or that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub who: Option<String>,
    /// Revision of the configuration that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Term of the leader or candidate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<u64>,
    /// Fencing token of an order or lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<FencingToken>,
    /// The request that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The chat that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chat: Option<ChatKey>,
    /// Name of the customer whose request it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Name of the endpoint that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// Further details as free text for operators; may be empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl FleetEvent {
    /// Creates an event of `kind` with all other fields empty.
    pub fn new(kind: EventKind) -> Self {
        Self {
            stamp: HybridTime::default(),
            sequence: 0,
            kind,
            who: None,
            revision: None,
            term: None,
            fence: None,
            request: None,
            chat: None,
            customer: None,
            endpoint: None,
            detail: String::new(),
        }
    }
}

/// Formats the event without its timestamp, as `kind name=value ...`.
impl fmt::Display for FleetEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.kind)?;
        write_field(formatter, "who", self.who.as_ref())?;
        write_field(formatter, "revision", self.revision)?;
        write_field(formatter, "term", self.term)?;
        write_field(formatter, "fence", self.fence)?;
        write_field(formatter, "request", self.request)?;
        write_field(formatter, "chat", self.chat)?;
        write_field(formatter, "customer", self.customer.as_ref())?;
        write_field(formatter, "endpoint", self.endpoint.as_ref())?;
        if !self.detail.is_empty() {
            write!(formatter, " ({})", self.detail)?;
        }
        Ok(())
    }
}

/// Writes ` name=value` if there is a value.
fn write_field(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    value: Option<impl fmt::Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(formatter, " {name}={value}"),
        None => Ok(()),
    }
}
