/// What a message between nodes is about; decides how it travels and how large it may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerChannel {
    /// Membership news: an unreliable datagram, or a stream where it does not fit one.
    Gossip,
    /// Votes and log records among state members.
    Consensus,
    /// Load slots between nodes and an endpoint's home.
    Slots,
    /// Configuration for nodes that follow the log.
    Follow,
    /// Events for the time line.
    Timeline,
}

impl PeerChannel {
    /// The byte that opens a message of this channel.
    pub(crate) fn tag(self) -> u8 {
        match self {
            Self::Gossip => 0,
            Self::Consensus => 1,
            Self::Slots => 2,
            Self::Follow => 3,
            Self::Timeline => 4,
        }
    }

    /// The channel whose messages open with `tag`.
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

    /// Priority among streams of one connection: larger goes first.
    ///
    /// A snapshot for a follower must not delay a heartbeat, which would depose a sound leader.
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
