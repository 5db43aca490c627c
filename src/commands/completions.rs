//! `completions`: generates shell completions for this command.

use std::io;

use clap::CommandFactory;

use crate::{
    command_line::{
        CommandLine,
        CompletionOptions, //
    },
    exit_status::ExitStatus, //
};

/// Prints the completion script for one shell.
pub(crate) fn run(options: &CompletionOptions) -> ExitStatus {
    let mut command = CommandLine::command();
    clap_complete::generate(
        options.shell,
        &mut command,
        "ragwortroad",
        &mut io::stdout(),
    );
    ExitStatus::Done
}
