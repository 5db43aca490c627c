//! The `ragwortroad` command: the processes of a fleet and the tools to operate and test it.

mod command_line;
mod commands;
mod exit_status;
mod log_limiter;
mod log_output;

use std::process::ExitCode;

use clap::Parser;

use crate::command_line::CommandLine;

fn main() -> ExitCode {
    let line = CommandLine::parse();
    commands::run(line.command).into()
}
