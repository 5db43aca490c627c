use ragwortroad_routing::{
    AdmissionClass,
    SlotId, //
};
use ragwortroad_types::EndpointId;

/// The state of a request from its arrival to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct LiveRequest {
    /// Index of its arrival in the arrival plan.
    pub(crate) arrival: usize,
    /// The node that serves it.
    pub(crate) node: usize,
    /// The engine for which a slot was last requested or to which the request was last sent.
    pub(crate) engine: usize,
    /// The home that granted the slot, and the slot; `None` while no slot is held.
    pub(crate) slot: Option<(usize, SlotId)>,
    /// Engines on which an attempt failed.
    pub(crate) excluded: Vec<usize>,
    /// The endpoint ids of `excluded`.
    pub(crate) excluded_ids: Vec<EndpointId>,
    /// Slot requests that were not granted.
    pub(crate) refusals: u32,
    /// Admission class of the last slot request.
    pub(crate) class: AdmissionClass,
    /// Number of slot requests made.
    pub(crate) slot_requests: u32,
    /// Number of attempts sent to engines.
    pub(crate) attempts: u32,
    /// Time of arrival since the start of the run.
    pub(crate) arrived_ms: u64,
    /// The request ended for its client.
    pub(crate) finished: bool,
}
