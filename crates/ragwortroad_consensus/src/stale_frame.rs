use crate::MemberId;

/// A frame that was ignored because a later start of its sender is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleFrame {
    /// The sender.
    pub member: MemberId,
    /// Start number in the frame.
    pub start: u64,
    /// Latest start number known of the sender.
    pub known_start: u64,
}
