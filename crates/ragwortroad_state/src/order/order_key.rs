use crate::{
    EngineOrder,
    OrderAction, //
};

/// What an order is about and where, without its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// The engine's name.
    pub engine: String,
    /// What it is about.
    pub action: OrderAction,
}

impl From<&EngineOrder> for OrderKey {
    fn from(order: &EngineOrder) -> Self {
        Self {
            engine: order.engine.clone(),
            action: order.action.clone(),
        }
    }
}
