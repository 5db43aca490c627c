use ragwortroad_log::StoredState;

use crate::MemberSet;

/// The state from which a member starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreStart {
    /// The content of the data folder.
    pub stored: StoredState,
    /// The initial member set. Set only on the node that bootstraps the group, and only with an
    /// empty folder.
    pub initial_members: Option<MemberSet>,
}
