//! Runs the repository's checks in order and stops at the first that fails.
//!
//! `cargo run -p ci` does on a developer's machine what `.ci/run` does on a fresh one. Tests named
//! in `KNOWN-RED.txt` run apart and are printed; they decide nothing until their fault is mended.

mod known_red;

use std::process::{
    Command,
    ExitCode, //
};

use known_red::KnownRed;

/// The checks before the tests, in the order in which a failure is cheapest to find.
const CHECKS: [&[&str]; 2] = [
    &["fmt", "--all", "--check"],
    &[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--",
        "-D",
        "warnings",
    ],
];

/// The test command of the README.
const TESTS: [&str; 3] = ["test", "--workspace", "--locked"];

fn main() -> ExitCode {
    let known = match KnownRed::read() {
        Ok(known) => known,
        Err(reason) => {
            eprintln!("KNOWN-RED.txt: {reason}");
            return ExitCode::FAILURE;
        }
    };
    for check in CHECKS {
        if !run_cargo(check) {
            return ExitCode::FAILURE;
        }
    }
    for red in &known {
        let verdict = match run_cargo(&red.arguments()) {
            true => "passed this time",
            false => "failed",
        };
        println!("known red, {verdict}: {} ({})", red.test, red.cause);
    }
    let mut tests = TESTS.to_vec();
    if !known.is_empty() {
        tests.push("--");
    }
    for red in &known {
        tests.extend(["--skip", red.test.as_str()]);
    }
    match run_cargo(&tests) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs one cargo command and tells whether it succeeded.
fn run_cargo(arguments: &[&str]) -> bool {
    println!("cargo {}", arguments.join(" "));
    let status = Command::new("cargo").args(arguments).status();
    let succeeded = status.is_ok_and(|status| status.success());
    if !succeeded {
        eprintln!("cargo {} failed", arguments.join(" "));
    }
    succeeded
}
