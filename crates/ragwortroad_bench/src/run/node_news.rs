use ragwortroad_types::ClockTime;

/// What membership tells a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeNews {
    /// An engine is there.
    Present {
        engine: u32,
        home: u32,
        leaving: bool,
        exclusive_from: ClockTime,
    },
    /// An engine is gone.
    Absent { engine: u32 },
    /// A node is gone.
    NodeGone { gone: u32 },
    /// A node is there again.
    NodeBack { back: u32 },
}
