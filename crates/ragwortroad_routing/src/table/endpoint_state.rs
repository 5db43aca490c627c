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

/// One endpoint in a node's arena.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    /// What membership says.
    pub(crate) facts: EndpointFacts,
    /// The exact account.
    /// Invariant: has slots only while this node is the home.
    pub(crate) ledger: SlotLedger,
    /// From when this node alone admits work, if it is the home.
    pub(crate) exclusive_from: ClockTime,
    /// Whether the endpoint has reported, since that measured_at, what earlier homes left on it.
    pub(crate) handover_reported: bool,
    /// What this node believes while it is not the home.
    pub(crate) view: RemoteView,
    /// The load that stands in the fleet's sum now: of what is believed, the part that does not rest
    /// on a silent node.
    pub(crate) counted_load: u32,
    /// By its home's digest, the endpoint is set aside.
    pub(crate) ejected_by_home: bool,
}

impl EndpointState {
    /// An endpoint that nothing but `facts` is known of.
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

    /// Whether the home may admit work by now.
    ///
    /// An earlier home that does not yet know that it is none may admit up to the bound until
    /// `exclusive_from`. A new home that admitted beside it would put the sum above the bound, which
    /// nobody would see but the endpoint. It therefore waits for that measured_at, and for a report from
    /// after it.
    pub(crate) fn is_exclusive(&self, now: ClockTime) -> bool {
        self.handover_reported && self.exclusive_from <= now
    }

    /// Takes in that membership now names another measured_at for the same home. A later one means that
    /// somebody else may have admitted work meanwhile, which only a later report shows.
    pub(crate) fn update_exclusive_from(&mut self, exclusive_from: ClockTime) {
        self.handover_reported &= exclusive_from <= self.exclusive_from;
        self.exclusive_from = exclusive_from;
    }

    /// Takes in the endpoint's own report.
    pub(crate) fn observe(&mut self, report: LoadReport, now: ClockTime) {
        let measured_at = now.before(Duration::from_millis(u64::from(report.age_ms)));
        self.ledger.sweep(now);
        self.ledger
            .observe(report, measured_at, self.handover_reported);
        self.handover_reported |= measured_at >= self.exclusive_from;
    }
}
