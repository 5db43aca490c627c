//! `report`: renders measurement files as an HTML page with plots.

use std::fs;

use ragwortroad_report::prelude::*;

use crate::{
    command_line::ReportOptions,
    exit_status::ExitStatus, //
};

/// Prints the HTML page to standard output.
pub(crate) fn run(options: &ReportOptions) -> ExitStatus {
    let mut measurements = Vec::new();
    for path in &options.files {
        let name = path.display().to_string();
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                eprintln!("failed to read {name}: {error}; give files written with --json");
                return ExitStatus::Unusable;
            }
        };
        match Measurement::from_json(&name, &text) {
            Ok(measurement) => measurements.push(measurement),
            Err(error) => {
                eprintln!("{error}");
                return ExitStatus::BadInput;
            }
        }
    }
    match report_page(&measurements) {
        Ok(page) => {
            print!("{page}");
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Failed
        }
    }
}
