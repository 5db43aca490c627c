//! Tests of records that are kept for a short time.

use ragwortroad_log::prelude::*;

const MAX_FILE_BYTES: usize = 200;

fn open(disk: &FakeDisk) -> (RotatingJournal, Vec<Vec<u8>>) {
    let opened = RotatingJournal::open(DiskPort::Fake(disk.clone()), MAX_FILE_BYTES);
    opened.expect("the journal opens")
}

fn record(number: u32) -> Vec<u8> {
    format!("record {number}").into_bytes()
}

/// Guards against records that a process loses when it is started again and again.
#[test]
fn records_survive_several_starts() {
    let disk = FakeDisk::default();
    for start in 0..3 {
        let (mut journal, records) = open(&disk);
        let expected: Vec<_> = (0..start).map(record).collect();
        assert_eq!(records, expected);
        journal
            .append(&record(start))
            .expect("the record is appended");
    }
}

/// Guards against synced records that a loss of power takes, and against damaged ones that are read.
#[test]
fn synced_records_survive_a_loss_of_power() {
    let mut lost_tails = 0;
    for seed in 0..200_u64 {
        let disk = FakeDisk::default();
        let (mut journal, _) = open(&disk);
        for number in 0..4 {
            journal
                .append(&record(number))
                .expect("the record is appended");
        }
        journal.sync().expect("the journal is synced");
        assert!(journal.is_synced());
        for number in 4..8 {
            journal
                .append(&record(number))
                .expect("the record is appended");
        }
        drop(journal);
        let mut state = seed;
        disk.crash(|limit| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (state >> 33) % limit.max(1)
        });
        let (_, records) = open(&disk);
        let expected: Vec<_> = (0..records.len() as u32).map(record).collect();
        assert_eq!(records, expected, "seed {seed}");
        assert!(records.len() >= 4, "seed {seed}: {} records", records.len());
        lost_tails += usize::from(records.len() < 8);
    }
    assert!(lost_tails > 0, "no crash has lost anything");
}

/// Guards against a journal that grows with the streams of a day.
#[test]
fn old_files_are_removed() {
    let disk = FakeDisk::default();
    let (mut journal, _) = open(&disk);
    for number in 0..1000 {
        journal
            .append(&record(number))
            .expect("the record is appended");
    }
    assert_eq!(disk.names().len(), 3);
    let (mut journal, records) = open(&disk);
    assert_eq!(records.last(), Some(&record(999)));
    assert!(records.len() < 60, "{} records", records.len());
    journal.clear().expect("the journal is cleared");
    assert!(disk.names().is_empty());
    journal.append(&record(1)).expect("the record is appended");
    assert_eq!(open(&disk).1, [record(1)]);
}

/// Guards against records behind a torn one that are never read.
#[test]
fn a_full_disk_costs_only_the_records_that_do_not_fit() {
    let disk = FakeDisk::default();
    let (mut journal, _) = open(&disk);
    journal.append(&record(0)).expect("the record is appended");
    disk.set_capacity(Some(25));
    assert!(journal.append(&record(1)).is_err());
    disk.set_capacity(None);
    journal.append(&record(2)).expect("the record is appended");
    assert_eq!(open(&disk).1, [record(0), record(2)]);
}
