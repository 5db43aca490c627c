use ragwortroad_types::ClockTime;

/// Estimate of an endpoint's load at a node that is not its home.
///
/// A digest is quantized and late. Slots granted to this node since the digest are added, because
/// otherwise a busy node would send all its requests to the engine that was idle a second ago.
/// Those that ended since are subtracted: a home sends no digest while the load stays the same, so
/// that a node would otherwise take an idle endpoint for full after a few short requests,
/// permanently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RemoteView {
    /// Load in the last digest.
    pub(crate) load: u32,
    /// Slots granted to this node since the last digest.
    pub(crate) sent_since: u32,
    /// Requests of this node that ended at the endpoint since the last digest.
    pub(crate) ended_since: u32,
    /// Time until which the home reported the endpoint as full.
    pub(crate) full_until: ClockTime,
    /// Whether the home reported it as full since the last digest.
    pub(crate) was_full: bool,
}

impl RemoteView {
    /// Returns the load to expect at the endpoint now.
    pub(crate) fn estimated_load(&self) -> u32 {
        let begun = self.load.saturating_add(self.sent_since);
        begun.saturating_sub(self.ended_since)
    }

    /// Applies a digest, which includes everything sent before it was created.
    pub(crate) fn observe(&mut self, load: u32) {
        self.load = load;
        self.sent_since = 0;
        self.ended_since = 0;
        self.was_full = false;
    }

    /// Applies the home's answer that the endpoint is full until `until`.
    pub(crate) fn observe_full(&mut self, until: ClockTime) {
        self.full_until = until;
        self.was_full = true;
    }
}
