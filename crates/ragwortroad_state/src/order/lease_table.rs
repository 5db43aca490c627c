use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::StateTime;

/// The lease that allows its holder to send orders to engines.
///
/// The consensus leader requests the lease with the first command of its term. If two nodes request
/// it, the order of the log decides; the later one gets the higher fencing token.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseTable {
    /// Invariant: increases with each grant and never decreases.
    fence: FencingToken,
    holder: Option<NodeId>,
    granted_at: StateTime,
}

impl LeaseTable {
    /// The fencing token of the last grant.
    pub fn fence(&self) -> FencingToken {
        self.fence
    }

    /// The node that the lease was last granted to; `None` before the first grant.
    pub fn holder(&self) -> Option<NodeId> {
        self.holder
    }

    /// The state time of the last grant.
    pub fn granted_at(&self) -> StateTime {
        self.granted_at
    }

    pub(crate) fn grant(&mut self, holder: NodeId, now: StateTime) -> FencingToken {
        self.fence = FencingToken(self.fence.0 + 1);
        self.holder = Some(holder);
        self.granted_at = now;
        self.fence
    }
}
