use crate::{
    CustomerLoad,
    CustomerTag,
    ServiceTag, //
};

/// Identifies the use of one service by one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareKey {
    /// The service.
    pub service: ServiceTag,
    /// The customer.
    pub customer: CustomerTag,
}

impl From<&CustomerLoad> for ShareKey {
    fn from(load: &CustomerLoad) -> Self {
        Self {
            service: load.service,
            customer: load.customer,
        }
    }
}
