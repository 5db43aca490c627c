//! Orders to drain a failure domain, applied to the replicated state.

use ragwortroad_dispatch::prelude::*;

fn order(domain: &str, is_drained: bool, seen: u64) -> DrainOrder {
    DrainOrder {
        id: 1,
        domain: domain.to_owned(),
        is_drained,
        seen,
    }
}

fn drained(drains: &DomainDrains) -> Vec<&str> {
    drains.drained().collect()
}

#[test]
fn a_second_order_undrains_a_domain() {
    let mut drains = DomainDrains::default();
    assert_eq!(drains.apply(&order("b", true, 0)), DrainOutcome::Changed);
    assert_eq!(drains.apply(&order("a", true, 0)), DrainOutcome::Changed);
    assert_eq!(drained(&drains), ["a", "b"]);
    let before = drains.clone();
    let seen = drains.revision();
    assert_eq!(
        drains.apply(&order("b", false, seen)),
        DrainOutcome::Changed
    );
    assert_eq!(drained(&drains), ["a"]);
    assert!(drains.revision() > before.revision());
    let returned: Vec<&str> = drains.undrained_since(&before).collect();
    assert_eq!(returned, ["b"]);
}

/// Guards against an order that is rejected or counts twice when it is sent again after a lost
/// response.
#[test]
fn a_repeated_order_changes_nothing() {
    let mut drains = DomainDrains::default();
    drains.apply(&order("a", true, 0));
    let before = drains.clone();
    assert_eq!(drains.apply(&order("a", true, 0)), DrainOutcome::Unchanged);
    assert_eq!(drains, before);
    let other = order("never-drained", false, 0);
    assert_eq!(drains.apply(&other), DrainOutcome::Unchanged);
}

/// Guards against an order delayed between registries that undoes the later order to undrain.
#[test]
fn a_delayed_order_does_not_undo_a_later_one() {
    let mut drains = DomainDrains::default();
    drains.apply(&order("a", true, 0));
    drains.apply(&order("a", false, 1));
    assert_eq!(drains.apply(&order("a", true, 0)), DrainOutcome::Overtaken);
    assert_eq!(drains.apply(&order("a", true, 1)), DrainOutcome::Overtaken);
    assert!(!drains.is_drained("a"));
    assert_eq!(drains.apply(&order("a", true, 2)), DrainOutcome::Changed);
}

/// Guards against an order that is rejected because another domain has changed.
#[test]
fn orders_for_other_domains_do_not_supersede() {
    let mut drains = DomainDrains::default();
    drains.apply(&order("a", true, 0));
    drains.apply(&order("b", true, 0));
    assert_eq!(drains.apply(&order("a", false, 1)), DrainOutcome::Changed);
    assert_eq!(drained(&drains), ["b"]);
}
