/// Counters since the table was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipStats {
    /// Packets sent.
    pub packets_sent: u64,
    /// Bytes of the packets sent, without the overhead of lower protocol layers.
    pub bytes_sent: u64,
    /// Packets received and processed.
    pub packets_received: u64,
    /// Packets dropped because they could not be decoded, came from an unknown node, or named this
    /// node as sender.
    pub packets_refused: u64,
    /// Bytes of node records in packets sent.
    pub node_bytes: u64,
    /// Bytes of endpoint records in packets sent.
    pub endpoint_bytes: u64,
    /// Bytes of endpoint loads in packets sent.
    pub load_bytes: u64,
    /// Bytes of blobs in packets sent.
    pub blob_bytes: u64,
    /// Bytes of requests, replies and digest comparisons in packets sent.
    pub direct_bytes: u64,
    /// Load updates that this node published as the home of an endpoint.
    pub load_updates_published: u64,
    /// Number of times this node refuted an update about itself.
    pub refutations: u64,
    /// Announcements processed.
    pub announcements: u64,
    /// Announcements ignored because they were outdated, repeated or malformed.
    pub announcements_ignored: u64,
}
