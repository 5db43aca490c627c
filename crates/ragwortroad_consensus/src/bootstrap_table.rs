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

/// What a node with a disk says of itself while a group is being founded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BootstrapHello {
    /// The node.
    pub node: NodeId,
    /// The identity of its data folder.
    pub member: MemberId,
    /// Whether the folder has neither entries nor a snapshot.
    pub is_empty: bool,
}

/// What there is to do about founding a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapDecision {
    /// Some of the named nodes have not answered: wait.
    Wait {
        /// Those nodes.
        missing: Vec<NodeId>,
    },
    /// All folders are empty and this node is the one to found: start with these members.
    Bootstrap(MemberSet),
    /// All folders are empty and another node founds: start without founders, and follow.
    Follow,
    /// A group exists: start without founders. An empty folder is then added as a learner.
    Join,
}

/// Decides, on nodes whose settings name the first members, whether to found a group.
///
/// Only if every named node says that its folder is empty, the one with the least identity founds.
/// A node that lost its disk later finds that the others' folders are not empty, and so cannot
/// found a second group beside the first.
#[derive(Clone, Debug)]
pub struct BootstrapTable {
    own: BootstrapHello,
    /// The nodes that the settings name, with what each has said last.
    hellos: BTreeMap<NodeId, Option<BootstrapHello>>,
}

impl BootstrapTable {
    /// A table for the node that says `own`, with `named` nodes in the settings.
    pub fn new(own: BootstrapHello, named: impl IntoIterator<Item = NodeId>) -> Self {
        let mut hellos: BTreeMap<_, _> = named.into_iter().map(|node| (node, None)).collect();
        hellos.insert(own.node, Some(own));
        Self { own, hellos }
    }

    /// Takes in what a node said.
    pub fn record_hello(&mut self, hello: BootstrapHello) {
        if let Some(known) = self.hellos.get_mut(&hello.node) {
            *known = Some(hello);
        }
    }

    /// What to do now.
    pub fn decide(&self) -> BootstrapDecision {
        let heard: Vec<_> = self.hellos.values().flatten().copied().collect();
        if heard.iter().any(|hello| !hello.is_empty) {
            return BootstrapDecision::Join;
        }
        let unheard = self.hellos.iter().filter(|(_, hello)| hello.is_none());
        let missing: Vec<_> = unheard.map(|(&node, _)| node).collect();
        if !missing.is_empty() {
            return BootstrapDecision::Wait { missing };
        }
        let founder = heard.iter().map(|hello| hello.node).min();
        if founder != Some(self.own.node) {
            return BootstrapDecision::Follow;
        }
        let voters = heard.iter().map(|hello| (hello.member, hello.node));
        BootstrapDecision::Bootstrap(MemberSet::from_voters(voters))
    }
}
