/// Identifies a request in the queue of an [`AdmissionGate`](crate::AdmissionGate).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);
