use crate::CustomerTag;

/// What an [`AdmissionGate`](crate::AdmissionGate) knows of a customer, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerStanding {
    /// Requests in flight.
    pub running: u32,
    /// Slots that it would use if there were room.
    pub wanted: u32,
    /// Recent use relative to its share here; 1 is the mean of all customers with recent use.
    pub relative_use: f64,
    /// The customer with the largest relative use; `None` if no customer is known.
    pub largest: Option<CustomerTag>,
    /// Relative use of that customer.
    pub largest_use: f64,
}
