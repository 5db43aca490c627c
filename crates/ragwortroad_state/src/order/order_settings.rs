use std::time::Duration;

use crate::LoadRate;

/// Settings of the lease holder's orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Time after which an order is sent again if its effect was not observed.
    pub resend_after: Duration,
    /// Time after which a load that was not observed gives up its slot at the weight store.
    pub load_timeout: Duration,
    /// Rate limits of the weight store.
    pub rate: LoadRate,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            resend_after: Duration::from_secs(5),
            load_timeout: Duration::from_secs(600),
            rate: LoadRate::default(),
        }
    }
}
