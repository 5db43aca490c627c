use std::net::SocketAddr;

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// An order handed to the thread that sends it.
#[derive(Clone, Debug)]
pub(crate) struct OrderTask {
    pub(crate) order: EngineOrder,
    /// Where the engine receives orders.
    pub(crate) address: SocketAddr,
    /// Whether the engine itself rejects outdated fencing tokens.
    pub(crate) checks_fencing: bool,
    /// Checked once more directly before the write.
    pub(crate) gate: OrderGate,
    /// The clock reading up to which this node was known to lead when the order was handed over.
    ///
    /// Invariant: never later than what the control thread knew, so that a sender resumed after a
    /// pause finds it expired.
    pub(crate) lead_until: ClockTime,
}

/// The outcome of sending an order once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OrderReport {
    pub(crate) id: OrderId,
    pub(crate) engine: String,
    pub(crate) end: OrderEnd,
}

/// How the sending of an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderEnd {
    /// The engine confirmed it.
    Confirmed,
    /// The engine responded with another status.
    Refused(u16),
    /// The lease had expired before the write; no byte was sent.
    Withheld(GateRefusal),
    /// No complete response arrived.
    Failed(String),
}

impl OrderEnd {
    /// Returns the metric label.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Refused(_) => "refused",
            Self::Withheld(_) => "withheld",
            Self::Failed(_) => "failed",
        }
    }

    /// Returns a description for people.
    pub(crate) fn detail(&self) -> String {
        match self {
            Self::Confirmed => "confirmed".to_owned(),
            Self::Refused(status) => format!("refused with status {status}"),
            Self::Withheld(refusal) => format!("not sent: {refusal}"),
            Self::Failed(reason) => format!("no answer: {reason}"),
        }
    }
}
