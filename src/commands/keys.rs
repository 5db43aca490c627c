//! `keys`: generates certificates and keys for the nodes of a fleet.

use std::fs;

use ragwortroad_transport::prelude::*;

use crate::{
    command_line::KeyOptions,
    exit_status::ExitStatus, //
};

/// Generates the keys of a fleet, or adds nodes if the folder already contains an authority.
pub(crate) fn run(options: &KeyOptions) -> ExitStatus {
    match write_keys(options) {
        Ok(()) => {
            let folder = options.out.display();
            println!(
                "wrote keys for {} node(s) into {folder}",
                options.nodes.len()
            );
            println!("give each node authority.pem, NAME.pem and NAME.key; keep authority.key");
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Unusable
        }
    }
}

fn write_keys(options: &KeyOptions) -> Result<(), TransportError> {
    let names: Vec<&str> = options.nodes.iter().map(String::as_str).collect();
    let authority = fs::read_to_string(options.out.join("authority.key"));
    if let Ok(authority_key) = authority {
        for node in add_keys(&options.fleet, &authority_key, &names)? {
            node.write_to(&options.out)?;
        }
        return Ok(());
    }
    make_keys(&options.fleet, &names)?.write_to(&options.out)
}
