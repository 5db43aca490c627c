//! `check`: every fault of a settings file at once.

use std::path::Path;

use ragwortroad_settings::prelude::*;

use crate::exit_status::ExitStatus;

/// Checks the file and starts nothing.
pub(crate) fn run(path: &Path) -> ExitStatus {
    match ProcessSettings::from_file(path) {
        Ok(settings) => {
            let role = if settings.is_member() {
                "holds state"
            } else {
                "holds no state"
            };
            println!(
                "{}: no faults; {} {role}",
                path.display(),
                settings.node.name
            );
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::BadInput
        }
    }
}
