//! `load`: open-loop load on a running fleet.

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

/// Sends load and prints what callers saw.
pub(crate) fn run(options: &LoadOptions) -> ExitStatus {
    start_log(&LogSettings::default());
    let customers = match read_customers(options) {
        Ok(customers) => customers,
        Err(reason) => {
            eprintln!("{}: {reason}", options.customers.display());
            return ExitStatus::BadInput;
        }
    };
    // Half of the arrivals are turns of chats, a quarter each are bookings and reads.
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

/// The surge that the options ask for, in the middle third of the run.
fn surge(options: &LoadOptions) -> Option<SurgePlan> {
    let duration = Duration::from_secs(options.seconds);
    (options.surge_customers > 0).then(|| SurgePlan {
        customers: options.surge_customers,
        from: duration / 3,
        until: duration / 3 * 2,
        factor: options.surge_factor,
    })
}

/// Customers of a file with one 'NAME KEY' a line.
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
            .ok_or_else(|| format!("line {}: write 'NAME KEY'", number + 1))?;
        customers.push(CustomerLoad {
            name: name.to_owned(),
            key: key.trim().to_owned(),
            weight: 1.0,
        });
    }
    if customers.is_empty() {
        return Err("names no customer; write 'NAME KEY' on a line".to_owned());
    }
    Ok(customers)
}
