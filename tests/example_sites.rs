//! Checks the example settings and declarations of both deployments.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    collections::BTreeSet,
    fs,
    path::Path,
    process::Command, //
};

use ragwortroad_language::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_state::prelude::*;

/// Expected contents of the examples of one site.
struct SiteExample {
    /// Name of the folder below `examples/`.
    folder: &'static str,
    region: &'static str,
    zones: [&'static str; 3],
    nodes: usize,
    /// Service to which `once` and `read` belong.
    service: &'static str,
    /// Method and path of a request that must run at most once.
    once: (&'static str, &'static str),
    /// Method and path of a request that may be repeated.
    read: (&'static str, &'static str),
}

/// Guards against examples that the current version rejects or that contradict each other.
#[test]
fn ljosmynd_examples_are_valid() {
    check_site(&SiteExample {
        folder: "ljosmynd",
        region: "is-sudvestur",
        zones: ["hfj-b", "kef-c", "rvk-a"],
        nodes: 9,
        service: "studio-desk",
        once: ("POST", "/bookings"),
        read: ("GET", "/bookings/41"),
    });
}

/// Guards against examples that the current version rejects or that contradict each other.
#[test]
fn splashmark_examples_are_valid() {
    check_site(&SiteExample {
        folder: "splashmark",
        region: "lagos",
        zones: ["lagos-ikeja", "lagos-lekki", "lagos-yaba"],
        nodes: 8,
        service: "badge-ledger",
        once: ("POST", "/awards"),
        read: ("GET", "/children/7"),
    });
}

fn check_site(site: &SiteExample) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(site.folder);
    let mut nodes = Vec::new();
    for entry in fs::read_dir(&folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_none_or(|extension| extension != "ini") {
            continue;
        }
        let check = Command::new(env!("CARGO_BIN_EXE_ragwortroad"))
            .args(["check", "--settings"])
            .arg(&path)
            .output()
            .unwrap();
        assert!(check.status.success(), "{}: {check:?}", path.display());
        let settings = ProcessSettings::from_file(&path).unwrap();
        assert_eq!(
            path.file_stem().unwrap().to_str(),
            Some(&*settings.node.name)
        );
        nodes.push(settings);
    }
    assert_eq!(nodes.len(), site.nodes);
    assert!(nodes.iter().all(|node| node.node.region == site.region));
    let zones: BTreeSet<&str> = nodes.iter().map(|node| &*node.node.zone).collect();
    assert!(zones.into_iter().eq(site.zones));
    let peers: BTreeSet<_> = nodes.iter().map(|node| node.node.peer).collect();
    assert_eq!(
        peers.len(),
        site.nodes,
        "two nodes have the same peer address"
    );
    let members: Vec<_> = nodes.iter().filter(|node| node.is_member()).collect();
    assert_eq!(members.len(), 3);
    for member in members {
        let configured = &member.state.members;
        let own = configured.iter().find(|seed| seed.name == member.node.name);
        assert_eq!(own.map(|seed| seed.peer), Some(member.node.peer));
    }
    let config = apply_declarations(&folder.join("declarations.txt"));
    assert_eq!(config.customers.len(), 10);
    let service = &config.services[site.service];
    let matches = |patterns: &BTreeSet<CallPattern>, (method, path): (&str, &str)| {
        patterns.iter().any(|pattern| pattern.matches(method, path))
    };
    assert!(matches(&service.once, site.once) && !matches(&service.idempotent, site.once));
    assert!(matches(&service.idempotent, site.read) && !matches(&service.once, site.read));
}

/// Applies all changes of a declarations file to an empty configuration.
///
/// Blank lines separate the changes.
fn apply_declarations(path: &Path) -> FleetConfig {
    let text = fs::read_to_string(path).unwrap();
    let mut config = FleetConfig::default();
    for block in text.split("\n\n") {
        let lines = block.lines().filter(|line| !line.starts_with('#'));
        let line = lines.collect::<Vec<_>>().join("; ");
        if line.is_empty() {
            continue;
        }
        match parse_line(&line) {
            Ok(Statement::Change(change)) => config = config.with_edits(&change.edits).unwrap(),
            other => panic!("{line}: {other:?}"),
        }
    }
    config
}
