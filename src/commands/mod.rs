//! The subcommands, one per module.

mod bench;
mod check;
mod completions;
mod demo;
mod explain;
mod forward;
mod keys;
mod load;
mod operator;
mod recover;
mod report;
mod secret_file;
mod serve;
mod standin;
mod timeline;

use crate::{
    command_line::CommandKind,
    exit_status::ExitStatus, //
};

/// Runs one subcommand to completion.
pub(crate) fn run(command: CommandKind) -> ExitStatus {
    match command {
        CommandKind::Serve(file) => serve::run(&file.settings),
        CommandKind::Edge(file) => forward::run_edge_process(&file.settings),
        CommandKind::Registry(file) => forward::run_registry_process(&file.settings),
        CommandKind::Directory(file) => forward::run_directory_process(&file.settings),
        CommandKind::Explain(options) => explain::run(&options),
        CommandKind::Check(file) => check::run(&file.settings),
        CommandKind::Recover(options) => recover::run(&options),
        CommandKind::Demo(options) => demo::run(&options),
        CommandKind::Standin(options) => standin::run(&options),
        CommandKind::Load(options) => load::run(&options),
        CommandKind::Ask(options) => operator::ask(&options),
        CommandKind::Change(options) => operator::change(&options),
        CommandKind::Timeline(options) => timeline::run(&options),
        CommandKind::Keys(options) => keys::run(&options),
        CommandKind::Bench(options) => bench::run(&options),
        CommandKind::Report(options) => report::run(&options),
        CommandKind::Completions(options) => completions::run(&options),
    }
}
