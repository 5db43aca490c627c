//! `load`: sends open-loop load to a running fleet.

use std::{
    fs,
    time::Duration, //
};

use ragwortroad_load::prelude::*;
use ragwortroad_settings::prelude::*;

use crate::{
    command_line::LoadOptions,
    exit_status::ExitStatus,
    log_output::start_log, //
};

/// Sends the load and prints a report of the responses.
pub(crate) fn run(options: &LoadOptions) -> ExitStatus {
    start_log(&LogSettings::default());
    let customers = match read_customers(options) {
        Ok(customers) => customers,
        Err(reason) => {
            eprintln!("{}: {reason}", options.customers.display());
            return ExitStatus::BadInput;
        }
    };
    // Chat turns make up half of the requests, bookings and reads a quarter each.
    let base = LoadSettings::default();
    let settings = LoadSettings {
        nodes: options.node.clone(),
        customers,
        model: options.model.clone(),
        service: options.service.clone(),
        seed: options.seed,
        duration: Duration::from_secs(options.seconds),
        chats_per_second: options.rate / 2.0 / f64::from(base.turns),
        bookings_per_second: options.rate / 4.0,
        reads_per_second: options.rate / 4.0,
        surge: surge(options),
        ..base
    };
    match run_load(settings) {
        Ok(report) => {
            match options.json {
                true => println!("{}", report.to_json()),
                false => println!("{report}"),
            }
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Unusable
        }
    }
}

/// The surge selected by the options, in the middle third of the run; `None` without surging
/// customers.
fn surge(options: &LoadOptions) -> Option<SurgePlan> {
    let duration = Duration::from_secs(options.seconds);
    (options.surge_customers > 0).then(|| SurgePlan {
        customers: options.surge_customers,
        from: duration / 3,
        until: duration / 3 * 2,
        factor: options.surge_factor,
    })
}

/// Reads the customers from a file with one `NAME KEY` pair per line.
///
/// Empty lines and lines that start with `#` are ignored.
///
/// # Errors
///
/// The reason as text, if the file cannot be read, a line has no key or no customer is listed.
fn read_customers(options: &LoadOptions) -> Result<Vec<CustomerLoad>, String> {
    let text = fs::read_to_string(&options.customers).map_err(|error| error.to_string())?;
    let mut customers = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (name, key) = line
            .split_once(char::is_whitespace)
            .ok_or_else(|| format!("line {}: expected 'NAME KEY'", number + 1))?;
        customers.push(CustomerLoad {
            name: name.to_owned(),
            key: key.trim().to_owned(),
            weight: 1.0,
        });
    }
    if customers.is_empty() {
        return Err("no customers listed; expected one 'NAME KEY' pair per line".to_owned());
    }
    Ok(customers)
}
