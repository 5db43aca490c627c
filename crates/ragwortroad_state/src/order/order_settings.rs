use std::time::Duration;

use crate::LoadRate;

/// Settings of the holder's orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Time after which an order whose effect is not seen is sent again.
    pub resend_after: Duration,
    /// Time after which a load that is not seen gives its place at the weight store up.
    pub load_timeout: Duration,
    /// The weight store's rate.
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
