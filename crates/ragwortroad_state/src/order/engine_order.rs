use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::EngineRole;

/// Identifies an order; stays the same when the order is sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderId {
    /// The fencing token of the lease holder.
    pub fence: FencingToken,
    /// Increases by one with each order under the same fencing token.
    pub number: u64,
}

/// An order to an engine.
///
/// An order is declarative: it states the desired state and not an operation, so that an engine
/// that gets it twice or late does nothing the second time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// The order's identifier, which includes the fencing token.
    pub id: OrderId,
    /// The name of the engine.
    pub engine: String,
    /// The desired state.
    pub action: OrderAction,
}

/// The desired state that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version of a model, with an adapter if one is given.
    Load {
        /// The model's name.
        model: String,
        /// The version's name.
        version: String,
        /// The adapter's name, if any.
        adapter: Option<String>,
    },
    /// Unload a version of a model, or one of its adapters.
    Unload {
        /// The model's name.
        model: String,
        /// The version's name.
        version: String,
        /// The adapter to unload; `None` unloads the whole model.
        adapter: Option<String>,
    },
    /// Switch to a role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
    /// Start or end a drain.
    SetDrain {
        /// Whether the engine must refuse new work.
        drain: bool,
    },
}

impl From<&EngineOrder> for OrderWire {
    fn from(order: &EngineOrder) -> Self {
        let kind = match &order.action {
            OrderAction::Load {
                model,
                version,
                adapter,
            } => OrderKind::Load {
                offer: offer_of(model, version, adapter),
            },
            OrderAction::Unload {
                model,
                version,
                adapter,
            } => OrderKind::Unload {
                offer: offer_of(model, version, adapter),
            },
            OrderAction::SetRole { role } => OrderKind::SetRole {
                role: (*role).into(),
            },
            OrderAction::SetDrain { drain } => OrderKind::SetDrain { drain: *drain },
        };
        Self {
            fence: order.id.fence,
            number: order.id.number,
            kind,
        }
    }
}

fn offer_of(model: &str, version: &str, adapter: &Option<String>) -> ModelOffer {
    ModelOffer {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: adapter.iter().cloned().collect(),
    }
}
