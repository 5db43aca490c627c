/// How far the stop of a process has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopStage {
    /// The process has not been told to stop.
    #[default]
    Running,
    /// No connection is accepted, and each response closes its connection.
    Draining,
    /// Open calls are refused as unavailable.
    Refusing,
    /// All connections are closed.
    Closed,
}
