use std::time::Duration;

use ragwortroad_types::{
    ClockTime,
    LoadReport, //
};

use crate::{
    EndpointFacts,
    table::{
        remote_view::RemoteView,
        slot_ledger::SlotLedger, //
    }, //
};

/// State of one endpoint in a node's arena.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    /// What membership and configuration say.
    pub(crate) facts: EndpointFacts,
    /// Exact count of the endpoint's slots. Invariant: has slots only while this node is the home.
    pub(crate) ledger: SlotLedger,
    /// Time from which only this node admits requests, if it is the home.
    pub(crate) exclusive_from: ClockTime,
    /// Whether a load report from after `exclusive_from` has shown the requests that earlier homes
    /// admitted.
    pub(crate) handover_reported: bool,
    /// Load estimate for while another node is the home.
    pub(crate) view: RemoteView,
    /// The load that is included in the fleet's sum: the known or estimated load without the part
    /// that depends on an unresponsive node.
    pub(crate) counted_load: u32,
    /// Whether the home's digest says that the endpoint is ejected.
    pub(crate) ejected_by_home: bool,
}

impl EndpointState {
    /// Creates the state of an endpoint of which only `facts` are known.
    pub(crate) fn new(facts: EndpointFacts, exclusive_from: ClockTime) -> Self {
        Self {
            facts,
            ledger: SlotLedger::default(),
            exclusive_from,
            handover_reported: exclusive_from == ClockTime::ZERO,
            view: RemoteView::default(),
            counted_load: 0,
            ejected_by_home: false,
        }
    }

    /// Whether this node may admit requests as the home.
    ///
    /// An earlier home that does not yet know of the change may admit requests up to the bound
    /// until `exclusive_from`. If a new home admitted at the same time, the sum could exceed the
    /// bound, and only the endpoint would notice. The new home therefore waits for that time, and
    /// for a load report from after it.
    pub(crate) fn is_exclusive(&self, now: ClockTime) -> bool {
        self.handover_reported && self.exclusive_from <= now
    }

    /// Applies another `exclusive_from` from membership for the same home. A later one means that
    /// another node may have admitted requests in the meantime, which only a later report shows.
    pub(crate) fn update_exclusive_from(&mut self, exclusive_from: ClockTime) {
        self.handover_reported &= exclusive_from <= self.exclusive_from;
        self.exclusive_from = exclusive_from;
    }

    /// Applies the endpoint's own load report.
    pub(crate) fn observe(&mut self, report: LoadReport, now: ClockTime) {
        let measured_at = now.before(Duration::from_millis(u64::from(report.age_ms)));
        self.ledger.sweep(now);
        self.ledger
            .observe(report, measured_at, self.handover_reported);
        self.handover_reported |= measured_at >= self.exclusive_from;
    }
}
