use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::StateTime;

/// Who may give orders to engines.
///
/// The consensus leader asks for the lease with the first command of its term. The log decides
/// between two who ask; the later one has the higher number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseTable {
    /// Invariant: never falls, and grows with each grant.
    fence: FencingToken,
    holder: Option<NodeId>,
    granted_at: StateTime,
}

impl LeaseTable {
    /// The fencing number of the last grant.
    pub fn fence(&self) -> FencingToken {
        self.fence
    }

    /// Who was granted the lease last.
    pub fn holder(&self) -> Option<NodeId> {
        self.holder
    }

    /// When it was granted.
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
