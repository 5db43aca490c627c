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

/// Something that happened on a node.
///
/// Made by update syntax from [`FleetEvent::new`]; what does not apply stays empty.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetEvent {
    /// When, by the node's hybrid clock.
    pub stamp: HybridTime,
    /// Counts up by one with every event the node kept; the ring sets it.
    pub sequence: u64,
    /// What happened.
    pub kind: EventKind,
    /// Who it happened to or who did it: a node's or operator's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub who: Option<String>,
    /// Revision of the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Term of the leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<u64>,
    /// Fencing number of an order or lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<FenceNumber>,
    /// The request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chat: Option<ChatKey>,
    /// The customer's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// The endpoint's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// Anything else, for a person.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl FleetEvent {
    /// An event of `kind` without anything else.
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

/// The event without its stamp, as `kind name=value ...`.
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

/// Writes one field, if it is there.
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
