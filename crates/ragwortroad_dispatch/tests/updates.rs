//! In which order edges are told what endpoints said.

mod common;

use common::record;
use ragwortroad_dispatch::prelude::*;

fn told(name: &str, stage: EndpointStage, sequence: u64) -> RegistryChange {
    RegistryChange::Told(EndpointRecord {
        stage,
        sequence,
        ..record(name)
    })
}

/// Guards against requests to a leaving endpoint while thousands announce themselves.
#[test]
fn a_leaving_endpoint_overtakes_announcements() {
    let mut queue = UpdateQueue::default();
    for index in 0..3000 {
        queue.push(told(&format!("i-{index}"), EndpointStage::Ready, 1));
    }
    queue.push(told("i-2999", EndpointStage::Draining, 2));
    let draining = told("i-2999", EndpointStage::Draining, 2);
    assert_eq!(queue.take_urgent(), [draining]);
    assert!(!queue.has_urgent());
    assert_eq!(queue.take_deferrable(100).len(), 100);
    let rest = queue.take_deferrable(usize::MAX);
    assert_eq!(rest.len(), 2899);
    assert!(rest.iter().all(|change| change.name() != "i-2999"));
}

/// Guards against an endpoint that comes back by an announcement sent after its goodbye.
#[test]
fn a_goodbye_takes_the_announcement_along() {
    let mut queue = UpdateQueue::default();
    queue.push(told("i-1", EndpointStage::Ready, 1));
    queue.push(RegistryChange::Goodbye("i-1".to_owned()));
    assert_eq!(queue.take_urgent().len(), 1);
    assert!(!queue.has_deferrable());
    // It starts again under the same name.
    queue.push(told("i-1", EndpointStage::Ready, 1));
    assert_eq!(queue.take_deferrable(9).len(), 1);
}

/// Guards against outdated updates that take the link's time.
#[test]
fn only_the_last_word_waits() {
    let mut queue = UpdateQueue::default();
    queue.push(told("i-1", EndpointStage::Ready, 1));
    queue.push(RegistryChange::Lost("i-1".to_owned()));
    queue.push(told("i-1", EndpointStage::Ready, 9));
    assert_eq!(
        queue.take_deferrable(9),
        [told("i-1", EndpointStage::Ready, 9)]
    );
}
