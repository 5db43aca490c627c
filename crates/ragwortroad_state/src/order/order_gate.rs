use std::time::Duration;

use ragwortroad_types::prelude::*;
use snafu::Snafu;

use crate::OrderTiming;

/// Decides on the holder's side whether an order may be sent now.
///
/// Made when the holder applied its own grant; dropped when it is no longer the leader. The check
/// comes directly before the write to a connection that is already open: a holder that was paused
/// then finds its lease over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderGate {
    timing: OrderTiming,
    fence: FenceNumber,
    /// Invariant: read when the grant was applied, so after the election that deposed the former
    /// holder.
    applied_at: ClockTime,
}

/// Why no order may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum GateRefusal {
    /// The own lease is over.
    #[snafu(display(
        "this node cannot prove that it is still the leader; it gives no orders until it can"
    ))]
    LeaseOver,
    /// The former holder's orders may still be on their way to an endpoint that would obey them.
    #[snafu(display(
        "orders of the former leader may still arrive; wait {} ms, or let the endpoint check \
         fencing numbers",
        wait.as_millis()
    ))]
    FormerHolder {
        /// How long to wait.
        wait: Duration,
    },
}

impl OrderGate {
    /// The gate of the holder with number `fence`, whose grant was applied at `applied_at`.
    pub fn new(timing: OrderTiming, fence: FenceNumber, applied_at: ClockTime) -> Self {
        Self {
            timing,
            fence,
            applied_at,
        }
    }

    /// The holder's fencing number.
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// When the grant was applied.
    pub fn applied_at(&self) -> ClockTime {
        self.applied_at
    }

    /// Whether an order may be written now, and with which number.
    ///
    /// `lead_until` is the reading up to which the node is proved to be the leader.
    pub fn may_order(
        &self,
        now: ClockTime,
        lead_until: ClockTime,
        checks_fencing: bool,
    ) -> Result<FenceNumber, GateRefusal> {
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
