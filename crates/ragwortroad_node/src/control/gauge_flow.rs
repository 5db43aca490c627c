//! Publishes the control state's gauges.

use ragwortroad_types::prelude::*;

use crate::control::control_state::ControlState;

impl ControlState {
    pub(crate) fn publish_gauges(&mut self, now: ClockTime) {
        let name = self.settings.node.name.clone();
        let gauge = |metric: &'static str, value: f64| {
            metrics::gauge!(metric, "node" => name.clone()).set(value);
        };
        let stats = self.transport.stats();
        self.bytes.write(stats.bytes_sent, stats.bytes_received);
        gauge("ragwortroad_control_bytes_sent", stats.bytes_sent as f64);
        gauge(
            "ragwortroad_control_bytes_received",
            stats.bytes_received as f64,
        );
        gauge(
            "ragwortroad_messages_dropped",
            stats.messages_dropped as f64,
        );
        gauge("ragwortroad_attempts_running", self.tickets.len() as f64);
        gauge("ragwortroad_slots_awaited", self.waits.len() as f64);
        gauge("ragwortroad_claim_steps_open", self.claims.len() as f64);
        gauge(
            "ragwortroad_releases_unconfirmed",
            self.releases.len() as f64,
        );
        gauge("ragwortroad_revision", self.follower.config.revision as f64);
        let admits = self.follower.guard.may_admit(now).is_ok() && !self.draining;
        gauge("ragwortroad_admits", f64::from(u8::from(admits)));
        let leads = self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.leads(now));
        gauge("ragwortroad_leads", f64::from(u8::from(leads)));
        let live = self.membership.live_nodes().count();
        gauge("ragwortroad_nodes_live", live as f64);
        let available = self.membership.available_endpoints().count();
        gauge("ragwortroad_endpoints_available", available as f64);
    }
}
