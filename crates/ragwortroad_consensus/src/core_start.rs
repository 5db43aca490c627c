use ragwortroad_log::StoredState;

use crate::MemberSet;

/// The state from which a member starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreStart {
    /// The content of the data folder.
    pub stored: StoredState,
    /// A start number, greater than at every earlier start on this VM: milliseconds of the wall
    /// clock.
    ///
    /// It must not come from the data folder, because it has to tell a start after the folder was
    /// rolled back from the start before.
    pub start: u64,
    /// The initial member set. Set only on the node that bootstraps the group, and only with an
    /// empty folder.
    pub initial_members: Option<MemberSet>,
}
