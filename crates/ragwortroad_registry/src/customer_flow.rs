//! Sums of the uses of services by customers, which edges report while a service has too little room.
//!
//! They travel as the loads do: from an edge to its home registry, from there to the other
//! registries as sums over its edges, and back to its edges as totals.

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

impl RegistryState {
    /// Handles a report of an edge whose home is this registry.
    pub(crate) fn handle_edge_customers(&mut self, link: LinkKey, loads: &[CustomerLoad]) {
        let edge = self.edges.get(&link);
        if let Some(edge) = edge.filter(|_| self.subscribers.contains(&link)) {
            let source = LoadSource::Edge(edge.address);
            self.customer_totals.update(source, loads);
        }
    }

    /// Handles the sums over another registry's edges.
    pub(crate) fn handle_peer_customers(&mut self, link: LinkKey, loads: &[CustomerLoad]) {
        if let Some(&peer) = self.peer_links.get(&link) {
            let source = LoadSource::Registry(peer);
            self.customer_totals.update(source, loads);
        }
    }

    /// Sends the totals known so far to an edge that has selected this registry as its home.
    pub(crate) fn start_customer_totals(&self, queue: &LinkQueue) {
        let totals = self.customer_totals.published();
        if !totals.is_empty() {
            queue.send(&LinkMessage::CustomerLoads(totals));
        }
    }

    /// Sends the sums over this registry's edges to a newly connected registry.
    pub(crate) fn start_customer_sums(&self, queue: &LinkQueue) {
        let sums = self.customer_totals.own_published();
        if !sums.is_empty() {
            queue.send(&LinkMessage::PartialCustomerLoads(sums));
        }
    }

    /// Sends changed sums to the other registries and changed totals to this registry's edges.
    pub(crate) fn send_customer_loads(&mut self, now: ClockTime) {
        if now < self.next_customer_loads_at {
            return;
        }
        let sums = self.customer_totals.own_changes();
        let totals = self.customer_totals.changes();
        let mut bytes = 0;
        if !sums.is_empty() {
            bytes += self.broadcast_to_peers(&LinkMessage::PartialCustomerLoads(sums));
        }
        if !totals.is_empty() {
            let message = LinkMessage::CustomerLoads(totals);
            bytes += self.send_to_links(self.subscribers.iter(), &message);
        }
        let every = SPREAD_INTERVAL * load_interval_factor(self.subscribers.len() as u32);
        let pace = SendPace::for_loads(self.link_bytes_per_second());
        self.link_account.note_sent(bytes, now);
        self.next_customer_loads_at = now.after(every.max(pace.delay_after(bytes)));
    }
}
