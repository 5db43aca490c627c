use std::collections::BTreeMap;

use crate::{
    EndpointStage,
    RegistryChange, //
};

/// Endpoint updates that a registry has to publish to edges.
///
/// After a restart of the whole fleet, thousands of endpoints announce themselves to a registry
/// within seconds, and each has to be published to every edge. Sent at once, these updates occupy
/// the registry's link for half a minute: consensus heartbeats and responses to endpoints queue
/// behind them, endpoints switch to other registries and are published again, and nothing is
/// served. Deferrable updates are therefore paced, and reduced to the latest for each endpoint.
/// Updates about leaving endpoints are urgent, since requests would continue to be sent to these.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    urgent: Vec<RegistryChange>,
    /// Invariant: nothing here is older than the entry in `urgent` for the same endpoint.
    deferrable: BTreeMap<String, RegistryChange>,
}

impl UpdateQueue {
    /// Adds a change, which replaces an older deferrable one for the same endpoint.
    pub fn push(&mut self, change: RegistryChange) {
        let name = change.name().to_owned();
        // Published after the goodbye, an older announcement would bring the endpoint back.
        self.deferrable.remove(&name);
        match is_urgent(&change) {
            true => self.urgent.push(change),
            false => {
                self.deferrable.insert(name, change);
            }
        }
    }

    /// Removes the urgent changes, which have to be published before any other.
    pub fn take_urgent(&mut self) -> Vec<RegistryChange> {
        std::mem::take(&mut self.urgent)
    }

    /// Removes up to `count` deferrable changes.
    pub fn take_deferrable(&mut self, count: usize) -> Vec<RegistryChange> {
        let mut taken = Vec::new();
        while taken.len() < count
            && let Some((_, change)) = self.deferrable.pop_first()
        {
            taken.push(change);
        }
        taken
    }

    /// Returns whether there are urgent changes.
    pub fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Returns whether there are deferrable changes.
    pub fn has_deferrable(&self) -> bool {
        !self.deferrable.is_empty()
    }
}

/// Returns whether requests fail or overload endpoints until the edges know of the change.
fn is_urgent(change: &RegistryChange) -> bool {
    match change {
        RegistryChange::Told(record) => record.stage != EndpointStage::Ready,
        RegistryChange::Cooled(_) | RegistryChange::Goodbye(_) => true,
        // Requests have failed there for seconds by then, and edges have noticed.
        RegistryChange::Lost(_) => false,
    }
}
