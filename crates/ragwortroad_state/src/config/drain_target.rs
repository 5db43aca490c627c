use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// What an operator drains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// An endpoint, by the name under which it announces itself.
    Endpoint(String),
    /// A node, by the name in its settings.
    Node(String),
    /// All endpoints of a failure domain, including those that join later.
    Domain(String),
}

impl DrainTarget {
    /// Returns the name of the endpoint, node or failure domain.
    pub fn name(&self) -> &str {
        match self {
            Self::Endpoint(name) | Self::Node(name) | Self::Domain(name) => name,
        }
    }
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(name) => write!(formatter, "endpoint {name}"),
            Self::Node(name) => write!(formatter, "node {name}"),
            Self::Domain(name) => write!(formatter, "domain {name}"),
        }
    }
}
