use ragwortroad_types::ClockTime;

use crate::{
    LogPosition,
    MemberId, //
};

/// Keeps a member from supporting another candidate while one that it supports may still win.
///
/// It is not binding, so it is only in memory: an election is safe without it, but candidates that
/// start within the time of a sync split the votes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VotePromise {
    /// The candidate that is supported.
    pub(crate) candidate: MemberId,
    /// Last position in its log. Others may refuse it for one with a more recent log, which is
    /// therefore supported at once.
    pub(crate) last: LogPosition,
    /// When another candidate may be supported.
    pub(crate) until: ClockTime,
}
