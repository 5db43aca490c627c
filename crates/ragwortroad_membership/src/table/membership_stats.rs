/// Counters since the table was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipStats {
    /// Packets sent.
    pub packets_sent: u64,
    /// Bytes in them, without anything below.
    pub bytes_sent: u64,
    /// Packets received.
    pub packets_received: u64,
    /// Packets that could not be read, or came from nobody known.
    pub packets_refused: u64,
    /// Bytes of records of nodes in packets sent.
    pub node_bytes: u64,
    /// Bytes of records of endpoints in packets sent.
    pub endpoint_bytes: u64,
    /// Bytes of load in packets sent.
    pub load_bytes: u64,
    /// Bytes of blobs in packets sent.
    pub blob_bytes: u64,
    /// Bytes of questions, answers and comparisons of views in packets sent.
    pub direct_bytes: u64,
    /// Loads told to the fleet as a home.
    pub load_updates_published: u64,
    /// Times this node spoke up against false news of itself.
    pub refutations: u64,
    /// Announcements taken in.
    pub announcements: u64,
    /// Announcements ignored, as they were late, repeated or malformed.
    pub announcements_ignored: u64,
}
