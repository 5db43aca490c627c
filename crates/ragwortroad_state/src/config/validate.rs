//! Validation of a whole configuration.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use crate::{
    CallPattern,
    ConfigFault,
    CustomerEntry,
    DrainTarget,
    FleetConfig,
    KeyHash,
    ModelEntry,
    QuorumLoss,
    config::{
        edit_items::missing,
        model_entry::FULL_SHARE_PERCENT, //
    }, //
};

const MAX_NAME_BYTES: usize = 64;
const MAX_ENDPOINT_NAME_BYTES: usize = 128;
const MAX_PATTERN_BYTES: usize = 256;
/// One day: with a longer grace period "in force everywhere" would mean nothing.
const MAX_GRACE_S: u64 = 24 * 3600;

/// Returns every fault of `config`.
pub(crate) fn faults(config: &FleetConfig) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    check_names(config, &mut faults);
    check_keys(config, &mut faults);
    check_numbers(config, &mut faults);
    for (name, customer) in &config.customers {
        check_customer(config, name, customer, &mut faults);
    }
    for (name, model) in &config.models {
        check_model(name, model, &mut faults);
    }
    for service in config.services.values() {
        let patterns = service.idempotent.iter().chain(&service.once);
        faults.extend(patterns.filter_map(pattern_fault));
    }
    for (member, address) in &config.members {
        if address.parse::<SocketAddr>().is_err() {
            faults.push(ConfigFault::BadAddress {
                member: member.clone(),
                address: address.clone(),
            });
        }
    }
    faults
}

fn check_names(config: &FleetConfig, faults: &mut Vec<ConfigFault>) {
    let models = config.models.values();
    let names = config
        .customers
        .keys()
        .chain(config.models.keys())
        .chain(config.services.keys())
        .chain(config.members.keys())
        .chain(config.operators.keys())
        .chain(models.clone().flat_map(|model| model.versions.keys()))
        .chain(models.flat_map(|model| &model.adapters));
    let invalid = names.filter(|name| !is_name(name));
    let drained = config.drains.iter().map(DrainTarget::name);
    let invalid = invalid.map(String::as_str);
    let invalid = invalid.chain(drained.filter(|name| !is_endpoint_name(name)));
    faults.extend(invalid.map(|name| ConfigFault::BadName {
        name: name.to_owned(),
    }));
}

fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let first = name.bytes().next();
    name.len() <= MAX_NAME_BYTES
        && first.is_some_and(|byte| byte.is_ascii_alphanumeric())
        && name.bytes().all(is_allowed)
}

/// Endpoints choose their own names; any name that the operators' language can express may be
/// drained.
fn is_endpoint_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte == b' ' || (byte.is_ascii_graphic() && byte != b'"');
    (1..=MAX_ENDPOINT_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}

/// Two owners of one key could act for each other, and one could read the other's responses.
fn check_keys(config: &FleetConfig, faults: &mut Vec<ConfigFault>) {
    let customers = config
        .customers
        .iter()
        .map(|(name, entry)| (format!("customer {name}"), &entry.keys));
    let operators = config
        .operators
        .iter()
        .map(|(name, keys)| (format!("operator {name}"), keys));
    let mut owners: BTreeMap<KeyHash, String> = BTreeMap::new();
    for (owner, keys) in customers.chain(operators) {
        for key in keys {
            if let Some(first) = owners.insert(*key, owner.clone()) {
                faults.push(ConfigFault::SharedKey {
                    first,
                    second: owner.clone(),
                });
            }
        }
    }
}

fn check_numbers(config: &FleetConfig, faults: &mut Vec<ConfigFault>) {
    let grace = match config.quorum_loss {
        QuorumLoss::Refuse => 0,
        QuorumLoss::GoOn { seconds } => seconds.into(),
    };
    let rules = &config.claims;
    let ranges = [
        (
            "the load multiple in thousandths",
            config.multiple_permille.into(),
            1001,
            10_000,
        ),
        (
            "the seconds to go on without a quorum",
            grace,
            0,
            MAX_GRACE_S,
        ),
        (
            "the claim window in seconds",
            rules.window_s.into(),
            60,
            90 * 24 * 3600,
        ),
        (
            "the claims of a customer",
            rules.per_customer.into(),
            1,
            1_000_000,
        ),
        (
            "the bytes of a recorded answer",
            rules.answer_bytes.into(),
            0,
            65_536,
        ),
        (
            "the bytes of a customer's answers",
            rules.answer_budget.into(),
            0,
            64 << 20,
        ),
        (
            "the spent keys of a customer",
            rules.spent_per_customer.into(),
            0,
            10_000_000,
        ),
        (
            "the skew of wall clocks in seconds",
            rules.skew_s.into(),
            0,
            3600,
        ),
        (
            "the run bound in seconds",
            rules.run_bound_s.into(),
            1,
            rules.window_s.into(),
        ),
    ];
    for (what, value, least, most) in ranges {
        if !(least..=most).contains(&value) {
            faults.push(ConfigFault::OutOfRange {
                what: what.to_owned(),
                value,
                least,
                most,
            });
        }
    }
}

fn check_customer(
    config: &FleetConfig,
    name: &str,
    customer: &CustomerEntry,
    faults: &mut Vec<ConfigFault>,
) {
    for (model, access) in &customer.models {
        let Some(entry) = config.models.get(model) else {
            faults.push(undeclared("model", model, name));
            continue;
        };
        let adapters = access.adapters.difference(&entry.adapters);
        faults.extend(adapters.map(|adapter| missing("adapter", adapter)));
        let version = access.version.iter();
        let missing_versions = version.filter(|version| !entry.versions.contains_key(*version));
        faults.extend(missing_versions.map(|version| undeclared("version", version, name)));
    }
    for service in &customer.services {
        if !config.services.contains_key(service) {
            faults.push(undeclared("service", service, name));
        }
    }
}

/// The fault of a customer that refers to an entry that was just removed or never existed.
fn undeclared(what: &str, name: &str, customer: &str) -> ConfigFault {
    ConfigFault::Undeclared {
        what: what.to_owned(),
        name: name.to_owned(),
        user: format!("customer {customer}"),
    }
}

fn check_model(name: &str, model: &ModelEntry, faults: &mut Vec<ConfigFault>) {
    let sum: u32 = model.versions.values().sum();
    if sum != FULL_SHARE_PERCENT {
        faults.push(ConfigFault::BadShares {
            model: name.to_owned(),
            sum,
        });
    }
    let range = model.replicas;
    let ordered = range.min <= range.wanted && range.wanted <= range.max;
    if !ordered || range.max == 0 {
        faults.push(ConfigFault::BadReplicas {
            model: name.to_owned(),
            min: range.min,
            wanted: range.wanted,
            max: range.max,
        });
    }
}

fn pattern_fault(pattern: &CallPattern) -> Option<ConfigFault> {
    let method = &pattern.method;
    let is_uppercase = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    let path = pattern.path.as_bytes();
    let is_printable = path.iter().all(u8::is_ascii_graphic);
    let is_well_formed =
        path.starts_with(b"/") && path.len() <= MAX_PATTERN_BYTES && method.len() <= 16;
    let wildcard_is_last = pattern
        .path
        .split('/')
        .rev()
        .skip(1)
        .all(|part| part != "**");
    if is_uppercase && is_printable && is_well_formed && wildcard_is_last {
        return None;
    }
    Some(ConfigFault::BadPattern {
        pattern: pattern.to_string(),
    })
}
