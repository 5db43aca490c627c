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

/// The version of commands that this program writes.
pub const COMMAND_VERSION: u8 = 1;

/// One command of the log with the leader's stamp.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateCommand {
    /// The leader's clocks when it proposed the command.
    pub stamp: CommandStamp,
    /// What is to be done.
    pub action: StateAction,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StateAction {
    /// Nothing but moving the clock on.
    Tick,
    /// An operator's change.
    Change(ChangeCommand),
    /// Steps on claims, of many nodes.
    Claims(Vec<ClaimStep>),
    /// The leader takes the lease for orders, with the first command of its term.
    TakeOrders {
        /// The leader.
        holder: NodeId,
    },
    /// The holder plans what engines shall be.
    Plan {
        /// The holder's number.
        fence: FencingToken,
        /// Targets by engine; none where it is no longer planned for.
        targets: Vec<(String, Option<EngineTarget>)>,
    },
}

/// Why bytes of the log are no command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CommandError {
    /// A newer program wrote it.
    #[snafu(display(
        "the command has version {version} and this program reads {COMMAND_VERSION}; install the \
         program version of the other members here"
    ))]
    NewerVersion {
        /// The version.
        version: u8,
    },
    /// It cannot be read.
    #[snafu(display(
        "the command cannot be read ({source}); restore this member from the others with an empty \
         data folder"
    ))]
    Unreadable {
        /// What the codec says.
        source: postcard::Error,
    },
    /// It has no bytes.
    #[snafu(display("the command is empty; restore this member with an empty data folder"))]
    Empty,
}

impl StateCommand {
    /// The command as bytes for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Encoding into a growing buffer has no error; see `FleetConfig::digest`.
        postcard::to_extend(self, vec![COMMAND_VERSION]).unwrap_or_default()
    }

    /// Reads a command from the log.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CommandError> {
        let (version, rest) = bytes.split_first().ok_or(CommandError::Empty)?;
        ensure!(
            *version == COMMAND_VERSION,
            NewerVersionSnafu { version: *version }
        );
        postcard::from_bytes(rest).context(UnreadableSnafu)
    }
}
