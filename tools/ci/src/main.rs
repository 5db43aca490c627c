//! Runs the repository's checks in order and stops at the first that fails.
//!
//! `cargo run -p ci` does on a developer's machine what `.ci/run` does on a fresh one.

use std::process::{
    Command,
    ExitCode, //
};

/// The checks, in the order in which a failure is cheapest to find.
const CHECKS: [&[&str]; 3] = [
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
    &["test", "--workspace", "--locked"],
];

fn main() -> ExitCode {
    for check in CHECKS {
        println!("cargo {}", check.join(" "));
        if !run_cargo(check) {
            eprintln!("cargo {} failed; mend it and run again", check.join(" "));
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Runs one cargo command and tells whether it succeeded.
fn run_cargo(arguments: &[&str]) -> bool {
    Command::new("cargo")
        .args(arguments)
        .status()
        .is_ok_and(|status| status.success())
}
