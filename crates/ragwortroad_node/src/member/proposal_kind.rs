use flume::Sender;
use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

/// The purpose of a proposal to the log; decides who receives its result.
#[derive(Debug)]
pub(crate) enum ProposalKind {
    /// Advances the state's clock.
    Tick,
    /// Takes the lease for orders.
    TakeOrders,
    /// Sets the targets of engines.
    Plan,
    /// Claim steps; the batches are in the order of their steps in the command.
    Claims(Vec<ClaimBatch>),
    /// An operator's change, with the operator who waits for its result.
    Change(LineOrigin),
    /// A membership change that follows from an accepted change or from a node that asks to join.
    Members,
}

/// One node's batch of claim steps in a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimBatch {
    /// The node that sent the batch.
    pub(crate) node: NodeId,
    /// The batch's number at that node.
    pub(crate) batch: u64,
    /// Number of steps in the batch.
    pub(crate) steps: usize,
}

/// The receiver of the response to an operator's line.
#[derive(Clone, Debug)]
pub(crate) enum LineOrigin {
    /// An operator connected to this node.
    Local(Sender<OperatorResponse>),
    /// Another node, which forwarded the line.
    Node {
        node: NodeId,
        /// The line's number at that node.
        token: u64,
    },
}
