use ragwortroad_types::ClockTime;

/// What a node that is not the home believes of an endpoint's load.
///
/// A digest is quantised and late. What this node was granted since it counts on top, or a node
/// with much traffic would send all of it to the engine that was idle a second ago. What of it has
/// ended since counts off again: a home tells no digest as long as the load stays the same, and
/// without this a node would take an idle endpoint for full after a few short requests, for good.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RemoteView {
    /// Load by the last digest.
    pub(crate) load: u32,
    /// Grants to this node since the last digest.
    pub(crate) sent_since: u32,
    /// Requests of this node that ended there since the last digest.
    pub(crate) ended_since: u32,
    /// The home said that the endpoint is full until then.
    pub(crate) full_until: ClockTime,
    /// It said so since the last digest.
    pub(crate) was_full: bool,
}

impl RemoteView {
    /// The load to expect at the endpoint now.
    pub(crate) fn estimated_load(&self) -> u32 {
        let begun = self.load.saturating_add(self.sent_since);
        begun.saturating_sub(self.ended_since)
    }

    /// Takes in a digest, which includes everything sent before it was made.
    pub(crate) fn observe(&mut self, load: u32) {
        self.load = load;
        self.sent_since = 0;
        self.ended_since = 0;
        self.was_full = false;
    }

    /// Takes in the home's answer that the endpoint is full until then.
    pub(crate) fn observe_full(&mut self, until: ClockTime) {
        self.full_until = until;
        self.was_full = true;
    }
}
