//! Plays the cases of the review with real processes. Usage: `lab CASE FOLDER`.

mod acked;
mod client;
mod crashed;
mod fleet;
mod http;
mod leaving;
mod record;
mod replica;
mod site;
mod versions;
mod wire;

use std::{path::Path, process::ExitCode};

/// What a case has found.
pub enum Finding {
    Broken(String),
    Held(String),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if let Some((first, rest)) = words.split_first()
        && first == "replica"
    {
        return match crashed::run_replica(rest) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let mut words = words.into_iter();
    let (case, folder) = (words.next(), words.next());
    let folder = folder.unwrap_or_else(|| ".".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let found = match case.as_deref() {
        Some("leaving") => leaving::play_case(Path::new(&folder), has_trouble),
        Some("acked") => acked::play_case(Path::new(&folder), has_trouble),
        Some("versions") => versions::play_case(Path::new(&folder), has_trouble),
        Some("crashed") => crashed::play_case(Path::new(&folder), has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match found {
        Ok(Finding::Broken(text)) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Ok(Finding::Held(text)) => {
            println!("held: {text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
