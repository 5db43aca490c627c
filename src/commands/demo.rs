//! `demo`: runs three nodes and stand-in endpoints in one process.

use ragwortroad_demo::prelude::*;
use ragwortroad_settings::prelude::*;

use crate::{
    command_line::DemoOptions,
    exit_status::ExitStatus,
    log_output::start_log, //
};

/// Runs the demonstration and prints its report; fails if a check of the report fails.
pub(crate) fn run(options: &DemoOptions) -> ExitStatus {
    start_log(&LogSettings {
        level: "error".to_owned(),
        ..LogSettings::default()
    });
    let settings = DemoSettings {
        seed: options.seed,
        chats: options.chats,
        bookings: options.bookings,
        ..DemoSettings::default()
    };
    let report = match run_demo(settings) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Unusable;
        }
    };
    match options.json {
        true => print_json(&report),
        false => println!("{report}"),
    }
    match report.passed() {
        true => ExitStatus::Done,
        false => ExitStatus::Failed,
    }
}

fn print_json(report: &DemoReport) {
    match serde_json::to_string_pretty(report) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("failed to serialize the report as JSON: {error}"),
    }
}
