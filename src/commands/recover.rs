//! `recover`: founds a group anew from the disk of one registry.

use ragwortroad_registry::prelude::*;
use ragwortroad_settings::prelude::*;

use crate::{
    command_line::RecoverOptions,
    exit_status::ExitStatus, //
};

/// Prints what the registry has on disk, and founds a group with it if the operator says so.
pub(crate) fn run(options: &RecoverOptions) -> ExitStatus {
    let settings = match ForwardSettings::from_file(&options.file.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::BadInput;
        }
    };
    let recovery = match GroupRecovery::open(&settings) {
        Ok(recovery) => recovery,
        Err(error) => {
            eprintln!("{}: {error}", settings.name);
            return ExitStatus::Unusable;
        }
    };
    let version = recovery.version.map_or_else(
        || "no configuration".to_owned(),
        |version| format!("configuration {version}"),
    );
    println!(
        "{}: {version}, last entry {} of term {}, group of {} voters",
        settings.name, recovery.last.index, recovery.last.term, recovery.voters
    );
    if !options.found_group {
        println!(
            "Nothing was changed. If a majority of the voters is lost for good, run this on every \
             registry that kept its disk, choose the one with the highest term and entry, and found \
             a group there with --found-group. Configurations and drain orders that were \
             acknowledged and are not on its disk are lost."
        );
        return ExitStatus::Done;
    }
    match recovery.found_group() {
        Ok(()) => {
            println!(
                "{} is the only voter of its group now. Empty the data folders of all other \
                 registries before any of them starts: they join and receive the state from here.",
                settings.name
            );
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("{}: {error}", settings.name);
            ExitStatus::Unusable
        }
    }
}
