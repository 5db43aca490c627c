use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    FencingToken,
    ModelOffer, //
};

/// An order to an engine, sent as the JSON body of `POST /v1/orders`.
///
/// It states the desired state rather than an action, so an engine that receives it twice, or late,
/// does nothing the second time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderWire {
    /// Fencing token of the node that issues the order.
    pub fence: FencingToken,
    /// Incremented with each order under one fencing token; a resend keeps the number.
    #[serde(default)]
    pub number: u64,
    /// The desired state.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The desired state that an order sets.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderKind {
    /// Keep the model loaded, with the named adapters.
    Load {
        /// The model, its version and its adapters.
        offer: ModelOffer,
    },
    /// Unload the model, or only the named adapters if there are any.
    Unload {
        /// The model, its version and its adapters.
        offer: ModelOffer,
    },
    /// Work in the given role.
    SetRole {
        /// The phase of requests to work on.
        role: RoleWire,
    },
    /// Accept no new requests, or accept them again.
    SetDrain {
        /// Whether to stop accepting new requests.
        drain: bool,
    },
}

/// The phase of a request that an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleWire {
    /// Prefill and decode.
    #[default]
    Both,
    /// Processing the prompt only.
    Prefill,
    /// Generating tokens only.
    Decode,
}
