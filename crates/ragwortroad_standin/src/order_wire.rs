use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// An order to an engine, as the body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderWire {
    /// The fencing number of whoever gives the order.
    pub fence: FenceNumber,
    /// What to do.
    pub action: OrderAction,
    /// With which model, version and adapters.
    pub offer: ModelOffer,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the model, or add adapters to it.
    Load,
    /// Drop the model.
    Unload,
}
