use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    FencingToken,
    ModelOffer, //
};

/// An order to an engine, as the JSON body of `POST /v1/orders`.
///
/// It says what shall be and not what to do next, so that an engine that gets it twice, or late,
/// does nothing the second time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderWire {
    /// The fencing number of whoever gives the order.
    pub fence: FencingToken,
    /// Counts up with each order under one fencing number; a resend has the same.
    #[serde(default)]
    pub number: u64,
    /// What it is about.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderKind {
    /// Hold the model, with the adapters that are named.
    Load {
        /// The model.
        offer: ModelOffer,
    },
    /// Hold it no longer; only the adapters where some are named.
    Unload {
        /// The model.
        offer: ModelOffer,
    },
    /// Have a role.
    SetRole {
        /// The role.
        role: RoleWire,
    },
    /// Take nothing new, or take work again.
    SetDrain {
        /// Whether to take nothing new.
        drain: bool,
    },
}

/// Which part of a request an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleWire {
    /// Reads prompts and generates.
    #[default]
    Both,
    /// Reads prompts only.
    Prefill,
    /// Generates only.
    Decode,
}
