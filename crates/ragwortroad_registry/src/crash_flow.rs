//! Distributes the crashes of endpoints that edges observe under their requests.

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::registry_state::RegistryState;

/// Maximum number of reports sent at once to an edge or a registry that has just connected.
///
/// After a restart of all edges each of them gets as many.
const MAX_SENT_REPORTS: usize = 200;

/// Size of a report on a link in bytes.
const ENCODED_REPORT_BYTES: f64 = 25.0;

impl RegistryState {
    /// Handles reports of an edge or of another registry.
    pub(crate) fn handle_crashes(&mut self, reports: &[CrashReport], now: ClockTime) {
        self.crashes.relay(reports, now);
    }

    /// Sends new reports to the other registries and to the edges whose home this registry is.
    pub(crate) fn send_crashes(&mut self, now: ClockTime) {
        if now < self.next_crashes_at {
            return;
        }
        self.crashes.expire(now);
        self.parts.expire(now);
        let pace = SendPace::for_locations(self.link_bytes_per_second());
        let receivers = self.peers.len() + self.subscribers.len();
        let most = pace.max_batch_items(receivers, ENCODED_REPORT_BYTES);
        let crashes = self.crashes.take_news(most, now);
        let parts = self.parts.take_news(most, now);
        let crashes = (!crashes.is_empty()).then_some(LinkMessage::Crashes(crashes));
        let parts = (!parts.is_empty()).then_some(LinkMessage::PartCrashes(parts));
        let mut bytes = 0;
        for message in crashes.iter().chain(&parts) {
            bytes += self.send_to_links(self.subscribers.iter(), message);
        }
        // Edges report parts to all registries themselves.
        if let Some(message) = &crashes {
            bytes += self.broadcast_to_peers(message);
        }
        if bytes == 0 {
            return;
        }
        self.link_account.note_sent(bytes, now);
        self.next_crashes_at = now.after(SPREAD_INTERVAL.max(pace.delay_after(bytes)));
    }

    /// Sends all known crashes to an edge or a registry that has just connected.
    pub(crate) fn send_all_crashes(&self, queue: &LinkQueue, now: ClockTime) {
        let reports = self.crashes.reports(MAX_SENT_REPORTS, now);
        if !reports.is_empty() {
            queue.send(&LinkMessage::Crashes(reports));
        }
        self.send_all_parts(queue, now);
    }

    /// Saves the crashes by parts of prompts to disk if they have changed.
    pub(crate) fn save_parts(&mut self, now: ClockTime) {
        if !self.has_unsaved_parts {
            return;
        }
        let reports = self.parts.reports(MAX_SENT_REPORTS, now);
        self.has_unsaved_parts = !self.stores.parts.save(reports);
    }

    /// Restores the crashes by parts of prompts that an earlier process has saved, and sends them to
    /// the edges before they learn of endpoints.
    pub(crate) fn restore_parts(&mut self, reports: &[PartReport], now: ClockTime) {
        self.parts.relay(reports, now);
        let reports = self.parts.reports(MAX_SENT_REPORTS, now);
        self.broadcast_to_edges(&LinkMessage::PartCrashes(reports));
    }

    /// Sends all known crashes by parts of prompts.
    ///
    /// An edge gets them before any endpoint, so that it sends no request that the fleet has
    /// quarantined.
    pub(crate) fn send_all_parts(&self, queue: &LinkQueue, now: ClockTime) {
        let reports = self.parts.reports(MAX_SENT_REPORTS, now);
        if !reports.is_empty() {
            queue.send(&LinkMessage::PartCrashes(reports));
        }
    }
}
