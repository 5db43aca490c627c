//! Runs the repository's checks in order and stops at the first failure.
//!
//! `cargo run -p ci` runs on a developer's machine what `.ci/run` runs on a fresh one. Tests listed
//! in `KNOWN-RED.txt` run separately and their results are printed, but they do not affect the
//! outcome until their fault is fixed.

mod import_cycles;
mod known_red;
mod platform_words;
mod test_docs;
#[cfg(test)]
mod tests;

use std::{
    fs,
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        ExitCode, //
    }, //
};

use import_cycles::{
    find_cycles,
    read_sources, //
};
use known_red::KnownRed;
use test_docs::{
    MAX_TEST_DOC_LINES,
    long_test_docs, //
};

/// Checks that run before the tests, the cheapest first.
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

/// Tests that run as a release build as well: there the HTTP library does not compare the length of a
/// body with its header, and users run that build.
const RELEASE_TESTS: [&[&str]; 2] = [
    &[
        "test",
        "--release",
        "--locked",
        "--package",
        "ragwortroad_platform",
        "--test",
        "whole_path",
        "--",
        "broken_answers",
        "answer_fuzz",
    ],
    &[
        "test",
        "--release",
        "--locked",
        "--package",
        "ragwortroad_gateway",
        "--test",
        "damaged_heads",
    ],
];

fn main() -> ExitCode {
    let known = match KnownRed::read() {
        Ok(known) => known,
        Err(reason) => {
            eprintln!("KNOWN-RED.txt: {reason}");
            return ExitCode::FAILURE;
        }
    };
    if !platform_words_are_confined() || !imports_have_no_cycles() || !test_docs_are_short() {
        return ExitCode::FAILURE;
    }
    for check in CHECKS {
        if !run_cargo(check) {
            return ExitCode::FAILURE;
        }
    }
    for known_red in &known {
        let verdict = match run_cargo(&known_red.arguments()) {
            true => "passed this time",
            false => "failed",
        };
        println!(
            "known red, {verdict}: {} ({})",
            known_red.test, known_red.cause
        );
    }
    let mut tests = TESTS.to_vec();
    if !known.is_empty() {
        tests.push("--");
    }
    for known_red in &known {
        tests.extend(["--skip", known_red.test.as_str()]);
    }
    let has_passed = run_cargo(&tests) && RELEASE_TESTS.into_iter().all(run_cargo);
    match has_passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Checks that the platform's words occur only in the adapter, and prints the others.
fn platform_words_are_confined() -> bool {
    println!("checking the words of {}", platform_words::WORDS_PATH);
    let found = fs::read_to_string(platform_words::WORDS_PATH).and_then(|text| {
        let words = platform_words::read_words(&text);
        platform_words::find_in_sources(Path::new("."), &words)
    });
    match found {
        Ok(found) => {
            for misplaced in &found {
                let path = misplaced.path.display();
                eprintln!(
                    "{path}:{}: '{}' may occur only in platform/",
                    misplaced.line, misplaced.word
                );
            }
            found.is_empty()
        }
        Err(error) => {
            eprintln!("cannot check the platform's words: {error}");
            false
        }
    }
}

/// Checks that no crate has import cycles between its files, and prints those that it has.
fn imports_have_no_cycles() -> bool {
    println!("checking for import cycles");
    match crate_import_cycles() {
        Ok(cycles) => {
            for (folder, module, imports) in &cycles {
                let imports = imports.join(", ");
                eprintln!(
                    "{}: {module} imports {imports} in a cycle",
                    folder.display()
                );
            }
            cycles.is_empty()
        }
        Err(reason) => {
            eprintln!("cannot check imports: {reason}");
            false
        }
    }
}

/// Returns folder, module and imports of each module in an import cycle, for all crates of the
/// repository.
fn crate_import_cycles() -> Result<Vec<(PathBuf, String, Vec<String>)>, String> {
    let mut cycles = Vec::new();
    for folder in crate_folders("src").map_err(|error| error.to_string())? {
        let sources = read_sources(&folder).map_err(|error| error.to_string())?;
        let graph = find_cycles(&sources);
        let graph = graph.map_err(|error| format!("{}: {error}", folder.display()))?;
        let found = graph.into_iter();
        let found = found.map(|(module, imports)| {
            let imports = imports.into_iter().collect();
            (folder.clone(), module, imports)
        });
        cycles.extend(found);
    }
    Ok(cycles)
}

/// Checks that no test has more than [`MAX_TEST_DOC_LINES`] doc lines, and prints those that do.
fn test_docs_are_short() -> bool {
    println!("checking the doc lines of tests");
    match tests_with_long_docs() {
        Ok(tests) => {
            for (folder, test) in &tests {
                let folder = folder.display();
                eprintln!(
                    "{folder}: {test} has more than {MAX_TEST_DOC_LINES} doc lines; \
                     move the rest to the commit message"
                );
            }
            tests.is_empty()
        }
        Err(reason) => {
            eprintln!("cannot check the doc lines of tests: {reason}");
            false
        }
    }
}

/// Returns the folder and name of each test with more than [`MAX_TEST_DOC_LINES`] doc lines.
fn tests_with_long_docs() -> Result<Vec<(PathBuf, String)>, String> {
    let mut tests = Vec::new();
    for name in ["src", "tests"] {
        for folder in crate_folders(name).map_err(|error| error.to_string())? {
            let sources = read_sources(&folder).map_err(|error| error.to_string())?;
            for (module, text) in &sources {
                let found = long_test_docs(text);
                let found = found.map_err(|error| format!("{module}: {error}"))?;
                tests.extend(found.into_iter().map(|test| (folder.clone(), test)));
            }
        }
    }
    Ok(tests)
}

/// Returns the folder of this name in each crate that has one.
fn crate_folders(name: &str) -> io::Result<Vec<PathBuf>> {
    let mut folders = vec![PathBuf::from(name), Path::new("platform").join(name)];
    for parent in ["crates", "tools"] {
        for entry in fs::read_dir(parent)? {
            folders.push(entry?.path().join(name));
        }
    }
    folders.retain(|folder| folder.is_dir());
    Ok(folders)
}

/// Runs a cargo command and returns whether it succeeded.
fn run_cargo(arguments: &[&str]) -> bool {
    println!("cargo {}", arguments.join(" "));
    let status = Command::new("cargo").args(arguments).status();
    let succeeded = status.is_ok_and(|status| status.success());
    if !succeeded {
        eprintln!("cargo {} failed", arguments.join(" "));
    }
    succeeded
}
