use ragwortroad_types::ClockTime;

/// What a node that is not the home believes of an endpoint's load.
///
/// A digest is quantised and late. What this node was granted since it counts on top, or a node
/// with much traffic would send all of it to the engine that was idle a second ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RemoteView {
    /// Load by the last digest.
    pub(crate) load: u32,
    /// Grants to this node since the last digest.
    pub(crate) sent_since: u32,
    /// The home said that the endpoint is full until then.
    pub(crate) full_until: ClockTime,
    /// It said so since the last digest.
    pub(crate) was_full: bool,
}

impl RemoteView {
    /// The load to expect at the endpoint now.
    pub(crate) fn expected(&self) -> u32 {
        self.load.saturating_add(self.sent_since)
    }

    /// Takes in a digest, which includes everything sent before it was made.
    pub(crate) fn observe(&mut self, load: u32) {
        self.load = load;
        self.sent_since = 0;
        self.was_full = false;
    }

    /// Takes in the home's answer that the endpoint is full until then.
    pub(crate) fn refused(&mut self, until: ClockTime) {
        self.full_until = until;
        self.was_full = true;
    }
}
