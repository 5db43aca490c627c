use std::net::SocketAddr;

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// An order on its way to the thread that sends it.
#[derive(Clone, Debug)]
pub(crate) struct OrderTask {
    /// The order.
    pub(crate) order: EngineOrder,
    /// Where the engine takes it.
    pub(crate) address: SocketAddr,
    /// Whether the engine refuses old fencing numbers itself.
    pub(crate) checks_fencing: bool,
    /// Asked once more directly before the write.
    pub(crate) gate: OrderGate,
    /// The reading up to which this node was proved to be the leader when the order was handed over.
    ///
    /// Invariant: never later than what the control thread knew, so a sender that was paused finds
    /// it passed.
    pub(crate) lead_until: ClockTime,
}

/// What came of sending an order once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OrderReport {
    /// The order.
    pub(crate) id: OrderId,
    /// The engine's name.
    pub(crate) engine: String,
    /// How it ended.
    pub(crate) end: OrderEnd,
}

/// How the sending of an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderEnd {
    /// The engine confirmed it.
    Confirmed,
    /// The engine answered with another status.
    Refused(u16),
    /// The lease was over before the write; not a byte was sent.
    Withheld(GateRefusal),
    /// No whole answer came.
    Failed(String),
}

impl OrderEnd {
    /// The end in one word, for counters.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Refused(_) => "refused",
            Self::Withheld(_) => "withheld",
            Self::Failed(_) => "failed",
        }
    }

    /// The end for people.
    pub(crate) fn detail(&self) -> String {
        match self {
            Self::Confirmed => "confirmed".to_owned(),
            Self::Refused(status) => format!("refused with status {status}"),
            Self::Withheld(refusal) => format!("not sent: {refusal}"),
            Self::Failed(reason) => format!("no answer: {reason}"),
        }
    }
}
