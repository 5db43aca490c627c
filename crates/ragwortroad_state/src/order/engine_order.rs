use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::EngineRole;

/// Names one order; a resend has the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderId {
    /// The holder's fencing number.
    pub fence: FencingToken,
    /// Counts up by one with each order under one fencing number.
    pub number: u64,
}

/// An order to an engine.
///
/// It says what shall be and not what to do next, so that an engine that gets it twice, or late,
/// does nothing the second time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// The order's name, with the fencing number.
    pub id: OrderId,
    /// The engine's name.
    pub engine: String,
    /// What it is about.
    pub action: OrderAction,
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Hold a model in a version, with an adapter where one is named.
    Load {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// The adapter.
        adapter: Option<String>,
    },
    /// Hold it no longer.
    Unload {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// The adapter; the whole model where none is named.
        adapter: Option<String>,
    },
    /// Have a role.
    SetRole {
        /// The role.
        role: EngineRole,
    },
    /// Take nothing new, or take work again.
    SetDrain {
        /// Whether to take nothing new.
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
