//! `check`: reports all errors in a settings file at once.

use std::{
    fs,
    path::Path, //
};

use ragwortroad_settings::prelude::*;

use crate::exit_status::ExitStatus;

/// Validates the settings file without starting anything.
///
/// The section `[vm]` distinguishes the settings of an edge, registry or directory from those of a
/// node.
pub(crate) fn run(path: &Path) -> ExitStatus {
    let is_forwarding =
        fs::read_to_string(path).is_ok_and(|text| text.lines().any(|line| line.trim() == "[vm]"));
    match is_forwarding {
        true => check_forwarding(path),
        false => check_node(path),
    }
}

fn check_forwarding(path: &Path) -> ExitStatus {
    match ForwardSettings::from_file(path) {
        Ok(settings) => {
            let role = match (settings.control, settings.directory) {
                (Some(_), _) => "is a registry",
                (None, Some(_)) => "is a directory",
                (None, None) => "is an edge",
            };
            println!("{}: no faults; {} {role}", path.display(), settings.name);
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::BadInput
        }
    }
}

fn check_node(path: &Path) -> ExitStatus {
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
