use ragwortroad_routing::{
    AdmissionClass,
    SlotId, //
};
use ragwortroad_types::EndpointId;

/// A request from its arrival to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveRequest {
    /// Number of its arrival.
    pub(crate) arrival: usize,
    /// The node that serves it.
    pub(crate) node: usize,
    /// The engine asked for or sent to.
    pub(crate) engine: usize,
    /// The home that granted the slot, and the slot.
    pub(crate) slot: Option<(usize, SlotId)>,
    /// Engines that refused or failed it.
    pub(crate) excluded: Vec<usize>,
    /// The same, by identity.
    pub(crate) excluded_ids: Vec<EndpointId>,
    /// Homes that answered "full".
    pub(crate) refusals: u32,
    /// What it claims of the home it asked last.
    pub(crate) class: AdmissionClass,
    /// Questions asked for it.
    pub(crate) slot_requests: u32,
    /// Attempts sent.
    pub(crate) attempts: u32,
    /// When it arrived.
    pub(crate) arrived_ms: u64,
    /// It has ended for its caller.
    pub(crate) finished: bool,
}
