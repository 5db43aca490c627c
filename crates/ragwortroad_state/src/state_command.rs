use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};

use crate::{
    ChangeCommand,
    ClaimStep,
    CommandStamp,
    EngineTarget, //
};

/// Format version of the commands this build writes, and the only one it reads.
pub const COMMAND_VERSION: u8 = 1;

/// A log entry: an action and the time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateCommand {
    /// The leader's clock readings when it proposed the command.
    pub stamp: CommandStamp,
    /// The action to apply to the state.
    pub action: StateAction,
}

/// The action of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StateAction {
    /// Advances the state clock and expires idempotency keys.
    Tick,
    /// A configuration change issued by an operator.
    Change(ChangeCommand),
    /// A batch of claim steps from any number of nodes.
    Claims(Vec<ClaimStep>),
    /// Grants the leader the order lease. A new leader proposes it as the first command of its
    /// term.
    TakeOrders {
        /// The leader that requests the lease.
        holder: NodeId,
    },
    /// Updates the engine targets on behalf of the lease holder.
    Plan {
        /// The fencing token of the holder's lease.
        fence: FencingToken,
        /// Targets by engine name; `None` removes the engine from the plan.
        targets: Vec<(String, Option<EngineTarget>)>,
    },
}

/// Why a log entry could not be decoded as a command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CommandError {
    /// A build with another command version wrote the entry.
    #[snafu(display(
        "the command has version {version}, but this build reads version {COMMAND_VERSION}; \
         install the build that the other members run"
    ))]
    NewerVersion {
        /// The version in the entry's first byte.
        version: u8,
    },
    /// The bytes after the version could not be decoded.
    #[snafu(display(
        "the command could not be decoded ({source}); restore this member from the others with an \
         empty data folder"
    ))]
    Unreadable {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The entry has no bytes.
    #[snafu(display("the command is empty; restore this member with an empty data folder"))]
    Empty,
}

impl StateCommand {
    /// Encodes the command for the log: the version byte, then the postcard encoding.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Encoding into a growable buffer cannot fail; see `FleetConfig::digest`.
        postcard::to_extend(self, vec![COMMAND_VERSION]).unwrap_or_default()
    }

    /// Decodes a command from a log entry.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CommandError> {
        let (version, rest) = bytes.split_first().ok_or(CommandError::Empty)?;
        ensure!(
            *version == COMMAND_VERSION,
            NewerVersionSnafu { version: *version }
        );
        postcard::from_bytes(rest).context(UnreadableSnafu)
    }
}
