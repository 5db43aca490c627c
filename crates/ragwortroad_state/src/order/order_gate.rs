use std::time::Duration;

use ragwortroad_types::prelude::*;
use snafu::Snafu;

use crate::OrderTiming;

/// Decides on the lease holder whether an order may be sent now.
///
/// The gate is created when the holder applies its own grant, and dropped when the holder loses
/// leadership. It must be checked directly before writing to a connection that is already open, so
/// that a holder that was paused detects that its lease has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderGate {
    timing: OrderTiming,
    fence: FencingToken,
    /// Invariant: read when the grant was applied, hence after the election that deposed the former
    /// holder.
    applied_at: ClockTime,
}

/// Why no order may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum GateRefusal {
    /// The holder's leader lease has expired.
    #[snafu(display(
        "this node cannot prove that it is still the leader; it gives no orders until it can"
    ))]
    LeaseOver,
    /// Orders of the former holder may still be in transit to an endpoint that would execute them.
    #[snafu(display(
        "orders of the former leader may still arrive; wait {} ms, or let the endpoint check \
         fencing numbers",
        wait.as_millis()
    ))]
    FormerHolder {
        /// The remaining wait.
        wait: Duration,
    },
}

impl OrderGate {
    /// Creates the gate of the holder with fencing token `fence`, whose grant was applied at
    /// `applied_at`.
    pub fn new(timing: OrderTiming, fence: FencingToken, applied_at: ClockTime) -> Self {
        Self {
            timing,
            fence,
            applied_at,
        }
    }

    /// The fencing token of the holder.
    pub fn fence(&self) -> FencingToken {
        self.fence
    }

    /// The local time at which the grant was applied.
    pub fn applied_at(&self) -> ClockTime {
        self.applied_at
    }

    /// Returns the fencing token to send if an order may be written at `now`.
    ///
    /// `lead_until` is the time until which this node is proven to be the leader; `checks_fencing`
    /// tells whether the endpoint rejects old fencing tokens.
    pub fn may_order(
        &self,
        now: ClockTime,
        lead_until: ClockTime,
        checks_fencing: bool,
    ) -> Result<FencingToken, GateRefusal> {
        if now >= lead_until {
            return Err(GateRefusal::LeaseOver);
        }
        let opens_at = self.applied_at.after(self.timing.new_holder_wait());
        if !checks_fencing && now < opens_at {
            return Err(GateRefusal::FormerHolder {
                wait: opens_at.since(now),
            });
        }
        Ok(self.fence)
    }
}
