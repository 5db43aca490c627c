use std::collections::BTreeMap;

use ragwortroad_types::NodeId;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    MemberId,
    MemberSet, //
};

/// The state of one voting node's data folder, exchanged while a group is being bootstrapped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BootstrapHello {
    /// The node that sends this message.
    pub node: NodeId,
    /// The random identity of the node's data folder.
    pub member: MemberId,
    /// Whether the folder has neither log entries nor a snapshot.
    pub is_empty: bool,
}

/// The next step of a node that may have to bootstrap a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapDecision {
    /// At least one named node has not sent its [`BootstrapHello`] yet.
    Wait {
        /// The nodes whose message is missing.
        missing: Vec<NodeId>,
    },
    /// All folders are empty and this node bootstraps the group: start the core with these initial
    /// members.
    Bootstrap(MemberSet),
    /// All folders are empty and another node bootstraps the group: start the core without initial
    /// members and wait for a leader.
    Follow,
    /// A group already exists: start the core without initial members. The leader adds a node with
    /// an empty folder as a learner.
    Join,
}

/// Decides whether this node bootstraps a group. Used on nodes whose settings name the initial
/// members.
///
/// Only if every named node reports an empty folder does the node with the lowest ID bootstrap the
/// group. A node that loses its disk later sees that the other folders are not empty, and so cannot
/// create a second group beside the first.
#[derive(Clone, Debug)]
pub struct BootstrapTable {
    own: BootstrapHello,
    /// The latest message of each node that the settings name; `None` before the first one.
    hellos: BTreeMap<NodeId, Option<BootstrapHello>>,
}

impl BootstrapTable {
    /// Creates a table from this node's own state and the nodes named in the settings.
    pub fn new(own: BootstrapHello, named: impl IntoIterator<Item = NodeId>) -> Self {
        let mut hellos: BTreeMap<_, _> = named.into_iter().map(|node| (node, None)).collect();
        hellos.insert(own.node, Some(own));
        Self { own, hellos }
    }

    /// Records the latest message of a node; a node that the settings do not name is ignored.
    pub fn record_hello(&mut self, hello: BootstrapHello) {
        if let Some(known) = self.hellos.get_mut(&hello.node) {
            *known = Some(hello);
        }
    }

    /// Returns the next step, given the messages received so far.
    pub fn decide(&self) -> BootstrapDecision {
        let received: Vec<_> = self.hellos.values().flatten().copied().collect();
        if received.iter().any(|hello| !hello.is_empty) {
            return BootstrapDecision::Join;
        }
        let unanswered = self.hellos.iter().filter(|(_, hello)| hello.is_none());
        let missing: Vec<_> = unanswered.map(|(&node, _)| node).collect();
        if !missing.is_empty() {
            return BootstrapDecision::Wait { missing };
        }
        let lowest = received.iter().map(|hello| hello.node).min();
        if lowest != Some(self.own.node) {
            return BootstrapDecision::Follow;
        }
        let voters = received.iter().map(|hello| (hello.member, hello.node));
        BootstrapDecision::Bootstrap(MemberSet::from_voters(voters))
    }
}
