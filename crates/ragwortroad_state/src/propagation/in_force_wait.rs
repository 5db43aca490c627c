use ragwortroad_types::prelude::*;
use snafu::Snafu;

/// What a change waits for before it is in force everywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display(
    "waits for {} nodes and {} ms for former leaders' leases; each node takes it up or stops \
     admitting work within the follow bound",
    nodes.len(),
    former_leases_ms
))]
pub struct InForceWait {
    /// Nodes that may still admit work under an older revision.
    pub nodes: Vec<NodeId>,
    /// Milliseconds until the leases that former leaders granted to unknown nodes have expired.
    pub former_leases_ms: u64,
}
