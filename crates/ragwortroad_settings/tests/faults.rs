//! All faults of a settings file are reported at once, each with line, key and remedy.

use proptest::prelude::*;
use ragwortroad_settings::prelude::*;

const VALID_SETTINGS: &str = "\
[node]
name = rvk-a-1
zone = rvk-a
region = is-sudvestur
listen = 127.0.0.1:8080
peer = 127.0.0.1:9080

[fleet]
seeds = hfj-b-1@127.0.0.1:9081
keys = keys
join_secret_file = join.secret
operator_key_file = operator.key

[state]
members = rvk-a-1@127.0.0.1:9080
data_folder = data
";

#[test]
fn a_valid_file_is_accepted() {
    let settings = ProcessSettings::from_bytes(VALID_SETTINGS.as_bytes()).unwrap();
    assert!(settings.is_member());
    assert_eq!(settings.fleet.seeds[0].name, "hfj-b-1");
}

/// Guards against faults that are reported one at a time, so that an operator must fix and check a
/// file repeatedly.
#[test]
fn every_fault_is_reported_at_once() {
    let text = VALID_SETTINGS
        .replace("zone = rvk-a", "zoen = rvk-a")
        .replace("listen = 127.0.0.1:8080", "listen = here")
        .replace(
            "data_folder = data",
            "lease_ms = 5000\n[node]\n[limit]\nmax_body_bytes = 0\n",
        )
        .replace("members = rvk-a-1", "members = x@1.2.3.4:5, rvk-a-1");
    let faults = ProcessSettings::from_bytes(text.as_bytes()).unwrap_err();
    insta::assert_snapshot!(faults, @r"
    line 1: node.zone: is missing; add 'zone = ...' under [node]
    line 3: node.zoen: is not a known key; did you mean 'zone'?
    line 5: node.listen: 'here' cannot be parsed (invalid socket address syntax); write it like '10.0.0.7:8080'
    line 15: state.members: names 2 members; name 1, 3, 5 or 7; an even number tolerates no more failures
    line 16: state.lease_ms: 5000 ms is not below follow_bound_ms = 3000; shorten lease_ms, or a failover makes every node stop
    line 17: [node]: stands twice; merge it into the first one
    line 18: [limit]: is not a known section; did you mean 'limits'?
    ");
}

/// Guards against names that silently differ because a file has another encoding.
#[test]
fn a_file_that_is_not_utf8_names_its_line() {
    let faults = ProcessSettings::from_bytes(b"[node]\nname = Lj\xf3smynd\n").unwrap_err();
    insta::assert_snapshot!(faults, @"line 2: file: is not UTF-8 here; save the file as UTF-8");
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let checked = ProcessSettings::from_bytes(&bytes);
        prop_assert!(checked.is_err());
    }

    #[test]
    fn a_damaged_file_never_panics(place in 0..VALID_SETTINGS.len(), byte in any::<u8>()) {
        let mut bytes = VALID_SETTINGS.as_bytes().to_vec();
        bytes[place] = byte;
        if let Err(faults) = ProcessSettings::from_bytes(&bytes) {
            prop_assert!(!faults.0.is_empty());
        }
    }
}
