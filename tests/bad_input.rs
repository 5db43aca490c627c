//! Faulty input at the command line: a clear word, the right exit status, nothing started.

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

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against nodes that start on faulty settings.
#[test]
fn faulty_settings_are_refused_with_line_and_remedy() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("node.ini");
    let good = include_str!("../examples/ljosmynd/rvk-a-1.ini");
    let doubled = format!("{good}\n[node]\nname = other\n");
    let misspelt = good.replace("zone =", "zoen =");
    let cases: [(&[u8], &str); 6] = [
        (b"[node\nname", "is not INI here"),
        (
            b"[node]\nname = Lj\xf3smynd\n",
            "line 2: file: is not UTF-8",
        ),
        (doubled.as_bytes(), "stands twice; merge it"),
        (misspelt.as_bytes(), "did you mean 'zone'?"),
        (b"", "node.name: is missing"),
        (b"\0\x01\x02\xff", "is not UTF-8"),
    ];
    for (bytes, word) in cases {
        fs::write(&path, bytes).unwrap();
        for command in ["check", "serve"] {
            let output = run(&[command, "--settings", path.to_str().unwrap()]);
            assert_eq!(
                output.status.code(),
                Some(2),
                "{command} of {word}: {output:?}"
            );
            assert!(told(&output).contains(word), "{command}: {}", told(&output));
        }
    }
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1);
}

#[test]
fn unknown_commands_and_missing_files_are_told_apart() {
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
    for (arguments, status, word) in cases {
        let output = run(arguments);
        assert_eq!(
            output.status.code(),
            Some(status),
            "{arguments:?}: {output:?}"
        );
        assert!(
            told(&output).contains(word),
            "{arguments:?}: {}",
            told(&output)
        );
    }
}

/// Guards against changes by wrong keys or mistyped lines.
#[test]
fn wrong_keys_and_wrong_lines_change_nothing() {
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
    let said = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let wrong = change("nobody", "set multiple 2");
    assert_eq!(wrong.status.code(), Some(1));
    assert!(
        said(&wrong).contains("no operator has this key"),
        "{wrong:?}"
    );
    let mistyped = change("small-fleet-operator", "set mutiple 2");
    assert_eq!(mistyped.status.code(), Some(1));
    assert!(
        said(&mistyped).contains("did you mean 'multiple'?"),
        "{mistyped:?}"
    );
    let empty = change("", "set multiple 2");
    assert_eq!(empty.status.code(), Some(3));
    assert!(told(&empty).contains("has no key"), "{empty:?}");
    let config = fleet.operator().ask("show config").unwrap().text;
    assert!(config.contains("multiple       1.25"), "{config}");
    fleet.stop();
}

#[test]
fn bash_gets_completions() {
    let output = run(&["completions", "bash"]);
    assert!(output.status.success());
    let script = String::from_utf8(output.stdout).unwrap();
    assert!(script.contains("complete -F _ragwortroad") && script.contains("timeline"));
}
