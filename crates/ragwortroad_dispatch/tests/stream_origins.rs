//! Tests of what is remembered of the software versions that began streams.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

const NOW: ClockTime = ClockTime(1_000_000);

fn tag(version: &str) -> VersionTag {
    VersionTag::of("llm", version).expect("the version is named")
}

fn origin(attempt: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey::of(Some("studio"), attempt),
        version: Some(tag(version)),
    }
}

fn answer(origin: Option<StreamOrigin>, versions: &[&str]) -> OriginAnswer {
    OriginAnswer {
        origin,
        versions: versions.iter().map(|version| tag(version)).collect(),
        is_complete: true,
    }
}

/// Guards against a customer who takes up a stream of another customer by its id.
#[test]
fn a_stream_is_found_only_for_its_customer() {
    let mut table = OriginTable::default();
    table.note(origin("a", "v1"), NOW);
    let found = table.find(StreamKey::of(Some("studio"), "a"), NOW);
    assert_eq!(found, Some(origin("a", "v1")));
    for customer in [Some("other"), Some("studioa"), None] {
        assert_eq!(table.find(StreamKey::of(customer, "a"), NOW), None);
    }
    assert_ne!(
        StreamKey::of(Some("ab"), "c"),
        StreamKey::of(Some("a"), "bc")
    );
}

/// Guards against an id that a client uses for streams of two versions.
#[test]
fn an_id_of_two_versions_stands_for_none() {
    let mut table = OriginTable::default();
    table.note(origin("a", "v1"), NOW);
    table.note(origin("a", "v1"), NOW);
    assert_eq!(
        table.find(origin("a", "v1").stream, NOW),
        Some(origin("a", "v1"))
    );
    table.note(origin("a", "v2"), NOW);
    table.note(origin("a", "v1"), NOW);
    let found = table.find(origin("a", "v1").stream, NOW).expect("is known");
    assert_eq!(found.version, None);
    let mut lookup = OriginLookup::default();
    lookup.add(SourceKey(1), answer(Some(origin("a", "v1")), &["v1", "v2"]));
    assert_eq!(lookup.recorded(), OriginFinding::Version(tag("v1")));
    lookup.add(SourceKey(2), answer(Some(origin("a", "v2")), &["v1", "v2"]));
    assert_eq!(lookup.recorded(), OriginFinding::Ambiguous);
}

/// Guards against a table that grows with the streams of a day.
#[test]
fn streams_are_forgotten_after_their_time() {
    let mut table = OriginTable::default();
    for number in 0..100_000_u64 {
        let now = NOW.after(Duration::from_millis(number / 10));
        table.note(origin(&number.to_string(), "v1"), now);
    }
    assert_eq!(table.len(), 1 << 16);
    let end = NOW.after(Duration::from_secs(10));
    let recent = table.recent(Duration::from_secs(1), end).count();
    assert!((9_990..=10_010).contains(&recent), "{recent}");
    table.expire(end.after(STREAM_MEMORY));
    assert!(table.is_empty());
}

/// Guards against a version that is forgotten while streams which it began may come back.
#[test]
fn a_version_counts_for_as_long_as_its_streams_may_come_back() {
    let mut versions = ServiceVersions::default();
    let service = ServiceTag::of("llm");
    assert!(!versions.note(tag("v1"), NOW));
    assert!(!versions.note(tag("v1"), NOW));
    assert!(versions.note(tag("v2"), NOW.after(Duration::from_secs(50))));
    let other = VersionTag::of("desk", "v9").expect("the version is named");
    assert!(!versions.note(other, NOW));
    versions.expire(NOW.after(STREAM_MEMORY - Duration::from_millis(1)));
    assert!(versions.has_several(service));
    assert_eq!(versions.all_mixed().len(), 2);
    versions.expire(NOW.after(STREAM_MEMORY));
    assert_eq!(versions.versions(service).collect::<Vec<_>>(), [tag("v2")]);
    assert_eq!(VersionTag::of("llm", ""), None);
}

/// Guards against a stream of another version that goes on because few registries were heard.
#[test]
fn the_only_version_needs_a_majority_that_knows_no_other() {
    let mut lookup = OriginLookup::default();
    let own = || [tag("v1")].into_iter();
    lookup.add(SourceKey(1), answer(None, &["v1"]));
    assert_eq!(lookup.only_version(own(), 3), None);
    lookup.add(SourceKey(2), answer(None, &[]));
    assert_eq!(lookup.only_version(own(), 3), Some(tag("v1")));
    assert_eq!(lookup.only_version([tag("v2")].into_iter(), 3), None);
    lookup.add(SourceKey(2), answer(None, &["v2"]));
    assert_eq!(lookup.only_version(own(), 3), None);
    assert_eq!(OriginLookup::default().only_version(own(), 0), None);
}
