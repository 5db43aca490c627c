use std::collections::BTreeMap;

use crate::{
    EndpointStage,
    RegistryChange, //
};

/// What a registry heard from endpoints and the edges are still to be told.
///
/// After a common restart thousands of endpoints announce themselves to a registry within seconds,
/// and each edge has to be told of all of them. Sent at once, that fills the registry's link for
/// half a minute: heartbeats of the agreement and answers to endpoints wait behind it, endpoints
/// turn to other registries and are announced again, and nothing is served. So updates that can wait are
/// sent at the pace of the link, and only the last word about each endpoint. That an endpoint leaves
/// cannot wait, since requests would go on to it.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    urgent: Vec<RegistryChange>,
    /// Invariant: nothing here is older than what `urgent` says of the same endpoint.
    deferrable: BTreeMap<String, RegistryChange>,
}

impl UpdateQueue {
    /// Adds a change, which replaces what it overtakes.
    pub fn push(&mut self, change: RegistryChange) {
        let name = change.name().to_owned();
        // Told after the goodbye, an older announcement would bring the endpoint back.
        self.deferrable.remove(&name);
        match is_urgent(&change) {
            true => self.urgent.push(change),
            false => {
                self.deferrable.insert(name, change);
            }
        }
    }

    /// Takes what cannot wait; it has to be told before anything else.
    pub fn take_urgent(&mut self) -> Vec<RegistryChange> {
        std::mem::take(&mut self.urgent)
    }

    /// Takes up to `count` of what can wait.
    pub fn take_deferrable(&mut self, count: usize) -> Vec<RegistryChange> {
        let mut taken = Vec::new();
        while taken.len() < count
            && let Some((_, change)) = self.deferrable.pop_first()
        {
            taken.push(change);
        }
        taken
    }

    /// Whether there is something that cannot wait.
    pub fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Whether there is something that can wait.
    pub fn has_deferrable(&self) -> bool {
        !self.deferrable.is_empty()
    }
}

/// Whether requests go wrong until the edges know.
fn is_urgent(change: &RegistryChange) -> bool {
    match change {
        RegistryChange::Told(record) => record.stage != EndpointStage::Ready,
        RegistryChange::Cooled(_) | RegistryChange::Goodbye(_) => true,
        // Its requests have failed for seconds by then, and edges have noticed.
        RegistryChange::Lost(_) => false,
    }
}
