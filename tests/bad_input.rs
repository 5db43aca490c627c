//! Invalid input on the command line is reported clearly, with the right exit status, and starts
//! nothing.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    fs,
    process::{
        Command,
        Output, //
    }, //
};

use ragwortroad_demo::prelude::*;
use tempfile::TempDir;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ragwortroad"))
        .args(arguments)
        .output()
        .unwrap()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against nodes that start with invalid settings, and against errors that do not name the
/// place and the correction.
#[test]
fn invalid_settings_are_refused_with_line_and_hint() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("node.ini");
    let valid = include_str!("../examples/ljosmynd/rvk-a-1.ini");
    let with_duplicate_section = format!("{valid}\n[node]\nname = other\n");
    let with_misspelt_key = valid.replace("zone =", "zoen =");
    let cases: [(&[u8], &str); 6] = [
        (b"[node\nname", "is not INI here"),
        (
            b"[node]\nname = Lj\xf3smynd\n",
            "line 2: file: is not UTF-8",
        ),
        (with_duplicate_section.as_bytes(), "stands twice; merge it"),
        (with_misspelt_key.as_bytes(), "did you mean 'zone'?"),
        (b"", "node.name: is missing"),
        (b"\0\x01\x02\xff", "is not UTF-8"),
    ];
    for (bytes, expected) in cases {
        fs::write(&path, bytes).unwrap();
        for command in ["check", "serve"] {
            let output = run(&[command, "--settings", path.to_str().unwrap()]);
            assert_eq!(
                output.status.code(),
                Some(2),
                "{command} of {expected}: {output:?}"
            );
            assert!(
                stderr_text(&output).contains(expected),
                "{command}: {}",
                stderr_text(&output)
            );
        }
    }
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1);
}

/// Guards against command-line errors that do not name the invalid argument or the missing file, or
/// that mix up the exit statuses of invalid input (2) and unusable files (3).
#[test]
fn invalid_arguments_and_missing_files_are_reported() {
    let cases: [(&[&str], i32, &str); 6] = [
        (&["srve"], 2, "serve"),
        (&["ask", "show nodes"], 2, "--node"),
        (&["bench", "--workload", "nowhere"], 2, "bench --help"),
        (&["check", "--settings", "/no/such.ini"], 2, "/no/such.ini"),
        (&["report", "/no/such.json"], 3, "/no/such.json"),
        (
            &["report", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")],
            2,
            "is not JSON",
        ),
    ];
    for (arguments, status, expected) in cases {
        let output = run(arguments);
        assert_eq!(
            output.status.code(),
            Some(status),
            "{arguments:?}: {output:?}"
        );
        assert!(
            stderr_text(&output).contains(expected),
            "{arguments:?}: {}",
            stderr_text(&output)
        );
    }
}

/// Guards against changes that take effect despite an unknown or empty operator key or a misspelt
/// statement.
#[test]
fn unknown_keys_and_misspelt_statements_change_nothing() {
    let fleet = SmallFleet::start(FleetPlan {
        nodes: 1,
        members: 1,
        engines: 0,
        services: 0,
        ..FleetPlan::default()
    })
    .unwrap();
    fleet.declare().unwrap();
    let key = fleet.folder.path().join("key");
    let node = fleet.client_addresses().remove(0);
    let change = |secret: &str, line: &str| {
        fs::write(&key, secret).unwrap();
        run(&[
            "change",
            "--node",
            &node,
            "--key",
            key.to_str().unwrap(),
            line,
        ])
    };
    let stdout_text = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let refused = change("nobody", "set multiple 2");
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        stdout_text(&refused).contains("no operator has this key"),
        "{refused:?}"
    );
    let mistyped = change("small-fleet-operator", "set mutiple 2");
    assert_eq!(mistyped.status.code(), Some(1));
    assert!(
        stdout_text(&mistyped).contains("did you mean 'multiple'?"),
        "{mistyped:?}"
    );
    let empty = change("", "set multiple 2");
    assert_eq!(empty.status.code(), Some(3));
    assert!(stderr_text(&empty).contains("has no key"), "{empty:?}");
    let config = fleet.operator().ask("show config").unwrap().text;
    assert!(config.contains("multiple       1.25"), "{config}");
    fleet.stop();
}

/// Guards against a completion script for bash without the subcommands.
#[test]
fn completions_cover_bash() {
    let output = run(&["completions", "bash"]);
    assert!(output.status.success());
    let script = String::from_utf8(output.stdout).unwrap();
    assert!(script.contains("complete -F _ragwortroad") && script.contains("timeline"));
}
