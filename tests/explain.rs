//! `explain` collects the log entries of a request from the log files of several processes.

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

/// Guards against log entries of a request that are missing, out of order or printed without their
/// fields, also if the last line of a file is truncated.
#[test]
fn log_lines_of_a_request_are_printed_in_time_order() {
    let folder = tempfile::tempdir().expect("failed to create a folder");
    let edge = folder.path().join("edge-1.log");
    let other = folder.path().join("edge-2.log");
    fs::write(&edge, EDGE_LOG).expect("failed to write a log file");
    fs::write(&other, "{\"request\":\"r9\"}\n").expect("failed to write a log file");
    let explain = |request: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortroad"));
        let output = command
            .args(["explain", request])
            .args([&edge, &other])
            .output();
        let output = output.expect("failed to run the command");
        (
            String::from_utf8_lossy(&output.stdout).into_owned(),
            output.status.success(),
        )
    };
    let (text, found) = explain("r1");
    assert!(found);
    let attempt = text
        .find("edge-1.log: attempt failed")
        .expect("the attempt is not printed");
    let end = text
        .find("edge-1.log: request over")
        .expect("the end of the request is not printed");
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
