//! `standin`: runs stand-in engines and services for trying out a fleet.

use std::{
    thread,
    time::Duration, //
};

use ragwortroad_settings::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals, //
};

use crate::{
    command_line::StandinOptions,
    commands::secret_file::read_secret,
    exit_status::ExitStatus,
    log_output::start_log, //
};

/// Runs the stand-ins for the given time or, if it is 0, until SIGTERM or SIGINT.
pub(crate) fn run(options: &StandinOptions) -> ExitStatus {
    start_log(&LogSettings::default());
    let secret = match read_secret(&options.join_secret) {
        Ok(secret) => secret,
        Err(status) => return status,
    };
    let result = start_all(options, &secret);
    let (engines, services) = match result {
        Ok(standins) => standins,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Unusable;
        }
    };
    println!(
        "{} engines and {} services are running",
        engines.len(),
        services.len()
    );
    let status = wait_for_stop(options.seconds);
    for engine in &engines {
        engine.announce_leaving();
    }
    for service in &services {
        service.announce_leaving();
    }
    let mut records: Vec<RunRecord> = Vec::new();
    records.extend(engines.into_iter().flat_map(StandinEngine::stop));
    records.extend(services.into_iter().flat_map(StandinService::stop));
    println!("{} requests processed", records.len());
    status
}

fn start_all(
    options: &StandinOptions,
    secret: &str,
) -> Result<(Vec<StandinEngine>, Vec<StandinService>), StandinError> {
    let zone = |number: u32| {
        let count = options.zones.len().max(1);
        let zone = options.zones.get(number as usize % count);
        zone.cloned().unwrap_or_default()
    };
    let offer = ModelOffer {
        model: options.model.clone(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
    };
    let engine = |number: u32| {
        StandinEngine::start(EngineSettings {
            name: format!("{}-engine-{number}", options.name),
            zone: zone(number),
            offers: vec![offer.clone()],
            announce_to: options.announce.clone(),
            join_secret: secret.to_owned(),
            ..EngineSettings::default()
        })
    };
    let service = |number: u32| {
        StandinService::start(ServiceSettings {
            name: format!("{}-{}-{number}", options.name, options.service),
            service: options.service.clone(),
            zone: zone(number),
            announce_to: options.announce.clone(),
            join_secret: secret.to_owned(),
            ..ServiceSettings::default()
        })
    };
    let engines = (0..options.engines).map(engine).collect::<Result<_, _>>()?;
    let services = (0..options.services)
        .map(service)
        .collect::<Result<_, _>>()?;
    Ok((engines, services))
}

/// Sleeps for `seconds` or, if it is 0, until SIGTERM or SIGINT.
fn wait_for_stop(seconds: u64) -> ExitStatus {
    if seconds > 0 {
        thread::sleep(Duration::from_secs(seconds));
        return ExitStatus::Done;
    }
    match Signals::new([SIGTERM, SIGINT]) {
        Ok(mut signals) => {
            signals.forever().next();
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("failed to install the signal handlers: {error}");
            ExitStatus::Unusable
        }
    }
}
