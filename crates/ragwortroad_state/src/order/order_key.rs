use crate::{
    EngineOrder,
    OrderAction, //
};

/// The engine and desired state of an order, without its identifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// The name of the engine.
    pub engine: String,
    /// The desired state.
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
