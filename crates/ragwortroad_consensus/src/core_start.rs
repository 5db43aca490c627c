use ragwortroad_log::StoredState;

use crate::MemberSet;

/// What a member starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreStart {
    /// What its data folder holds.
    pub stored: StoredState,
    /// A number greater than at any earlier start on this VM: milliseconds of the wall clock.
    ///
    /// It must not come from the data folder, for it has to tell a start after the folder was
    /// rolled back from the start before.
    pub start: u64,
    /// The first members, on the one node that founds the group, and only for an empty folder.
    pub initial_members: Option<MemberSet>,
}
