use ragwortroad_types::ClockTime;

/// What membership tells a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipUpdate {
    /// An engine is there.
    EngineUp {
        engine: u32,
        home: u32,
        leaving: bool,
        exclusive_from: ClockTime,
    },
    /// An engine is gone.
    EngineDown { engine: u32 },
    /// A node is gone.
    NodeDown { gone: u32 },
    /// A node is there again.
    NodeUp { back: u32 },
}
