use flume::Sender;
use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

/// What a proposal to the log was for, so that its result reaches who waits for it.
#[derive(Debug)]
pub(crate) enum ProposalKind {
    /// Moves the state's clock on.
    Tick,
    /// The leader takes the lease for orders.
    TakeOrders,
    /// What engines shall be.
    Plan,
    /// Batches of claim steps, in the order in which they stand in the command.
    Claims(Vec<ClaimBatch>),
    /// An operator's change.
    Change(LineOrigin),
    /// A change of members that goes with an accepted change or an enlisting node.
    Members,
}

/// One node's batch of claim steps within a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimBatch {
    /// The node.
    pub(crate) node: NodeId,
    /// The batch's number there.
    pub(crate) batch: u64,
    /// How many steps.
    pub(crate) steps: usize,
}

/// Whom the answer to an operator's line goes to.
#[derive(Clone, Debug)]
pub(crate) enum LineOrigin {
    /// An operator's connection at this node.
    Here(Sender<OperatorResponse>),
    /// Another node, which passed the line on.
    Node {
        /// The node.
        node: NodeId,
        /// The line's number there.
        token: u64,
    },
}
