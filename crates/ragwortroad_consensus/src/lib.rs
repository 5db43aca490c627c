//! Raft leader election and log replication as a state machine without I/O.
//!
//! A [`ConsensusCore`] is one member of a group that agrees on the order of commands. It reads no
//! clock, uses no unseeded randomness and accesses no disk or network: the driver passes inputs
//! together with the time and performs the returned actions, so that every schedule can be
//! replayed.
//!
//! ```
//! use ragwortroad_consensus::prelude::*;
//! use ragwortroad_log::prelude::*;
//! use ragwortroad_types::prelude::*;
//!
//! let stored = StoredState { identity: 17, is_new: true, ..StoredState::default() };
//! let voters = MemberSet::from_voters([(MemberId(17), NodeId::from_name("rvk-1"))]);
//! let start = CoreStart { stored, initial_members: Some(voters) };
//! let now = ClockTime(1000);
//! let (mut core, mut actions) = ConsensusCore::new(CoreSettings::default(), start, now, 1)?;
//! actions.extend(core.handle(CoreInput::Propose { token: 1, command: b"on".to_vec() }, now));
//! // A group of one leads as soon as its own vote is durable.
//! while let Some(action) = actions.pop() {
//!     if let CoreAction::Persist { batch, .. } = action {
//!         actions.extend(core.handle(CoreInput::Persisted { batch }, now));
//!     }
//! }
//! assert!(core.may_act_as_leader(now));
//! # Ok::<(), CoreError>(())
//! ```

mod bootstrap_table;
mod commit_apply;
mod consensus_core;
mod core_action;
mod core_error;
mod core_input;
mod core_queries;
mod core_settings;
mod core_start;
mod core_startup;
mod election;
mod entry_log;
mod entry_payload;
mod following;
mod leader_state;
mod leading;
mod log_position;
mod member_change;
mod member_history;
mod member_id;
mod member_progress;
mod member_record;
mod member_set;
mod member_state;
mod membership;
mod message_handling;
mod peer_frame;
mod peer_message;
mod persist_barrier;
mod recall_check;
mod recalling;
mod replicating;
mod restart_check;
mod restart_queries;
mod snapshot_assembly;
mod snapshotting;
mod stale_frame;
mod start_table;
mod sync_time;
mod vote_promise;

/// Common items for dependent crates.
pub mod prelude {
    pub use crate::{
        bootstrap_table::{
            BootstrapDecision,
            BootstrapHello,
            BootstrapTable, //
        },
        consensus_core::ConsensusCore,
        core_action::{
            CoreAction,
            ProposeResult, //
        },
        core_error::CoreError,
        core_input::CoreInput,
        core_settings::CoreSettings,
        core_start::CoreStart,
        entry_payload::EntryPayload,
        log_position::LogPosition,
        member_change::{
            ChangeRefusal,
            MemberChange, //
        },
        member_id::MemberId,
        member_record::{
            MemberRecord,
            MemberRole, //
        },
        member_set::MemberSet,
        peer_frame::{
            FrameError,
            MAX_FRAME_BYTES,
            PeerFrame, //
        },
        peer_message::{
            AppendOutcome,
            MemberStart,
            PeerMessage,
            SnapshotChunk,
            WireEntry, //
        },
        stale_frame::StaleFrame, //
    };
}

#[doc(hidden)]
pub use core_settings::InjectedBug;
pub use prelude::*;

use entry_log::EntryLog;
use leader_state::{
    LeaderState,
    PendingRead, //
};
use member_history::MemberHistory;
use member_progress::{
    MemberProgress,
    SendMode,
    SnapshotTransfer, //
};
use member_state::{
    MemberState,
    VoteTally, //
};
use persist_barrier::PersistBarrier;
use recall_check::RecallCheck;
use restart_check::RestartCheck;
use snapshot_assembly::SnapshotAssembly;
use start_table::StartTable;
use sync_time::SyncTime;
use vote_promise::VotePromise;
