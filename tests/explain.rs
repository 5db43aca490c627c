//! `explain` finds a request's way in the log files of many processes.

use std::{
    fs,
    process::Command, //
};

const EDGE_LOG: &str = concat!(
    "{\"timestamp\":\"2026-01-01T00:00:02Z\",\"level\":\"INFO\",\"message\":\"request over\",",
    "\"request\":\"r1\",\"outcome\":\"refused\",\"reason\":\"NotRun\",\"attempts\":1}\n",
    "{\"timestamp\":\"2026-01-01T00:00:01Z\",\"level\":\"INFO\",\"message\":\"attempt failed\",",
    "\"request\":\"r1\",\"endpoint\":\"i-1\",\"reason\":\"not run\"}\n",
    "{\"timestamp\":\"2026-01-01T00:00:03Z\",\"message\":\"request over\",\"request\":\"r2\"}\n",
    "half a li",
);

/// Guards against lines of a request that are missing, out of order or cut.
#[test]
fn log_lines_of_a_request_are_printed_in_time_order() {
    let folder = tempfile::tempdir().expect("a folder");
    let edge = folder.path().join("edge-1.log");
    let other = folder.path().join("edge-2.log");
    fs::write(&edge, EDGE_LOG).expect("a file");
    fs::write(&other, "{\"request\":\"r9\"}\n").expect("a file");
    let explain = |request: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortroad"));
        let output = command
            .args(["explain", request])
            .args([&edge, &other])
            .output();
        let output = output.expect("runs");
        (
            String::from_utf8_lossy(&output.stdout).into_owned(),
            output.status.success(),
        )
    };
    let (text, found) = explain("r1");
    assert!(found);
    let attempt = text
        .find("edge-1.log: attempt failed")
        .expect("the attempt");
    let end = text.find("edge-1.log: request over").expect("the end");
    assert!(attempt < end, "{text}");
    for expected in [
        "endpoint = \"i-1\"",
        "reason = \"NotRun\"",
        "nothing in edge-2.log",
    ] {
        assert!(text.contains(expected), "{expected} is not in {text}");
    }
    assert!(text.contains("1 lines cannot be read"), "{text}");
    let (text, found) = explain("r7");
    assert!(
        !found && text.contains("no file has the request r7"),
        "{text}"
    );
}
