use std::{
    collections::HashMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

/// Longest rest that an endpoint may ask for; a longer one is taken for an error.
const MAX_REST: Duration = Duration::from_secs(600);

/// Endpoints that want no request from this process for some time.
///
/// Unlike a pause after failures, a rest is kept even if no other endpoint is available. It belongs
/// to a process and not to an address or a table entry: an endpoint that is lost and announces
/// itself again still rests, and one that has restarted does not.
///
/// ```
/// use std::time::Duration;
///
/// use ragwortroad_routing::RestTable;
/// use ragwortroad_types::prelude::*;
///
/// let engine = IncarnationKey::new("engine-1", 17);
/// let mut table = RestTable::default();
/// table.note_rest(engine, Duration::from_secs(3), ClockTime(1000));
/// assert_eq!(table.rest_left(engine, ClockTime(1500)), Some(Duration::from_millis(2500)));
/// assert_eq!(table.rest_left(engine, ClockTime(4000)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RestTable {
    /// When the rest of each endpoint ends.
    ends: HashMap<IncarnationKey, ClockTime>,
}

impl RestTable {
    /// Records that an endpoint wants no request for some time; a rest is never shortened.
    pub fn note_rest(&mut self, endpoint: IncarnationKey, rest: Duration, now: ClockTime) {
        let end = self.ends.entry(endpoint).or_default();
        *end = now.after(rest.min(MAX_REST)).max(*end);
    }

    /// Returns the rest of an endpoint's rest; `None` if it takes requests.
    pub fn rest_left(&self, endpoint: IncarnationKey, now: ClockTime) -> Option<Duration> {
        let end = *self.ends.get(&endpoint)?;
        (now < end).then(|| end.since(now))
    }

    /// Whether no endpoint rests.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the number of endpoints that rest.
    pub fn resting_count(&self, now: ClockTime) -> usize {
        self.ends.values().filter(|end| now < **end).count()
    }

    /// Removes the rests that are over.
    pub fn expire(&mut self, now: ClockTime) {
        self.ends.retain(|_, end| now < *end);
    }
}
