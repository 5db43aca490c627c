/// The subject of a message between nodes; determines its priority and whether it may travel as a
/// datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerChannel {
    /// Membership updates: sent as an unreliable datagram, or on a stream if they do not fit one.
    Gossip,
    /// Votes and log records between state members.
    Consensus,
    /// Load slots, between nodes and the home of an endpoint.
    Slots,
    /// Configuration, for nodes that follow the log.
    Follow,
    /// Events for the timeline.
    Timeline,
}

impl PeerChannel {
    /// The first byte of a message on this channel.
    pub(crate) fn tag(self) -> u8 {
        match self {
            Self::Gossip => 0,
            Self::Consensus => 1,
            Self::Slots => 2,
            Self::Follow => 3,
            Self::Timeline => 4,
        }
    }

    /// The channel whose messages start with `tag`; `None` if no channel has it.
    pub(crate) fn from_tag(tag: u8) -> Option<Self> {
        match tag {
            0 => Some(Self::Gossip),
            1 => Some(Self::Consensus),
            2 => Some(Self::Slots),
            3 => Some(Self::Follow),
            4 => Some(Self::Timeline),
            _ => None,
        }
    }

    /// Stream priority within a connection; larger values are sent first.
    ///
    /// A snapshot for a follower must not delay a heartbeat, because a late heartbeat would depose
    /// a healthy leader.
    pub(crate) fn priority(self) -> i32 {
        match self {
            Self::Consensus => 4,
            Self::Gossip => 3,
            Self::Slots => 2,
            Self::Follow => 1,
            Self::Timeline => 0,
        }
    }
}
