use ragwortroad_types::ClockTime;

/// A change that membership reports to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipUpdate {
    /// An engine is running and announces itself to `home`, which alone admits its requests from
    /// `exclusive_from` on.
    EngineUp {
        engine: u32,
        home: u32,
        leaving: bool,
        exclusive_from: ClockTime,
    },
    /// An engine failed.
    EngineDown { engine: u32 },
    /// A node failed.
    NodeDown { stopped_node: u32 },
    /// A node restarted.
    NodeUp { restarted_node: u32 },
}
