use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

/// Minimum time between two checks of one endpoint.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// When each endpoint was last checked because it did not respond in time.
#[derive(Debug, Default)]
pub(crate) struct SilenceChecks {
    checked_at: BTreeMap<EndpointKey, ClockTime>,
}

impl SilenceChecks {
    /// Returns whether a check is due, and records it.
    pub(crate) fn take_due(&mut self, endpoint: EndpointKey, now: ClockTime) -> bool {
        self.checked_at
            .retain(|_, checked_at| now.since(*checked_at) < CHECK_INTERVAL);
        self.checked_at.insert(endpoint, now).is_none()
    }
}
