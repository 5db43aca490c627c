//! Tests of which records of endpoints are taken.

use ragwortroad_dispatch::prelude::*;

fn record() -> EndpointRecord {
    EndpointRecord {
        name: "i-1".to_owned(),
        service: "desk".to_owned(),
        address: "10.0.0.1:8080".parse().expect("an address"),
        zone: "a".to_owned(),
        version: String::new(),
        slots: 0,
        stage: EndpointStage::Ready,
        started_ms: 0,
        sequence: 0,
        warming_ms: 0,
    }
}

#[test]
fn records_of_endpoints_are_taken() {
    assert_eq!(record().check(), Ok(()));
    let largest = EndpointRecord {
        name: "n".repeat(256),
        zone: "z".repeat(256),
        version: "v".repeat(256),
        slots: 65_536,
        started_ms: 1 << 53,
        sequence: 1 << 53,
        warming_ms: 86_400_000,
        ..record()
    };
    assert_eq!(largest.check(), Ok(()));
    let departure = EndpointDeparture {
        name: "i-1".to_owned(),
        started_ms: 17,
        is_start_known: true,
    };
    assert_eq!(EndpointRecord::departed(&departure).check(), Ok(()));
}

/// Guards against records that name no endpoint and cost the requests that are sent there.
#[test]
fn odd_records_are_refused() {
    let long = || "x".repeat(257);
    let odd = [
        EndpointRecord {
            name: String::new(),
            ..record()
        },
        EndpointRecord {
            name: long(),
            ..record()
        },
        EndpointRecord {
            service: String::new(),
            ..record()
        },
        EndpointRecord {
            service: long(),
            ..record()
        },
        EndpointRecord {
            zone: long(),
            ..record()
        },
        EndpointRecord {
            version: long(),
            ..record()
        },
        EndpointRecord {
            slots: 65_537,
            ..record()
        },
        EndpointRecord {
            started_ms: (1 << 53) + 1,
            ..record()
        },
        EndpointRecord {
            sequence: u64::MAX,
            ..record()
        },
        EndpointRecord {
            warming_ms: u32::MAX,
            ..record()
        },
    ];
    for record in odd {
        assert!(record.check().is_err(), "{record:?}");
    }
    for address in [
        "10.0.0.1:0",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "[::]:80",
    ] {
        let address = address.parse().expect("an address");
        let fault = EndpointRecord {
            address,
            ..record()
        }
        .check();
        assert_eq!(fault, Err(RecordFault::UnusableAddress { address }));
    }
}
