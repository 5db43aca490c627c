//! Data folders on a fake disk with torn, failing and damaged writes, and on a real disk.

use proptest::prelude::*;
use ragwortroad_log::prelude::*;

fn settings() -> FolderSettings {
    FolderSettings {
        fresh_identity: 17,
        boot_id: "boot-1".to_owned(),
        ..FolderSettings::default()
    }
}

fn open(disk: &FakeDisk) -> Result<(LogFolder, StoredState), LogError> {
    LogFolder::open_on(DiskPort::Fake(disk.clone()), &settings())
}

/// The expected content of a folder, computed independently of it.
#[derive(Clone, Debug, Default, PartialEq)]
struct FolderModel {
    vote: VoteRecord,
    snapshot: Option<StoredSnapshot>,
    entries: Vec<StoredEntry>,
}

impl FolderModel {
    fn of(state: &StoredState) -> Self {
        Self {
            vote: state.vote,
            snapshot: state.snapshot.clone(),
            entries: state.entries.clone(),
        }
    }

    fn first(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + 1
    }

    fn next(&self) -> u64 {
        self.first() + self.entries.len() as u64
    }

    /// Creates a change of the kind selected by `draw`, and applies it to the model.
    fn change(&mut self, draw: u64) -> LogChange {
        let mut change = LogChange::default();
        let pick = draw >> 8;
        match draw % 8 {
            0 => {
                self.vote = VoteRecord {
                    term: self.vote.term + 1,
                    voted_for: Some(pick),
                };
                change.vote = Some(self.vote);
            }
            1 if !self.entries.is_empty() => {
                let from = self.first() + pick % self.entries.len() as u64;
                change.truncate_from = Some(from);
                self.entries.retain(|entry| entry.index < from);
            }
            2 if !self.entries.is_empty() => {
                let last = self.entries[pick as usize % self.entries.len()].clone();
                let snapshot = StoredSnapshot {
                    index: last.index,
                    term: last.term,
                    members: vec![1],
                    bytes: vec![7; pick as usize % 900],
                };
                self.entries.retain(|entry| entry.index > last.index);
                self.snapshot = Some(snapshot.clone());
                change.snapshot = Some(snapshot);
            }
            _ => {
                for _ in 0..=pick % 3 {
                    let entry = StoredEntry {
                        index: self.next(),
                        term: self.vote.term,
                        bytes: vec![pick as u8; pick as usize % 700],
                    };
                    self.entries.push(entry.clone());
                    change.entries.push(entry);
                }
            }
        }
        change
    }
}

/// Writes changes until the disk fails. Returns the states after each record, and the positions of
/// those that were acknowledged.
fn write(
    folder: &mut LogFolder,
    model: FolderModel,
    draws: &[u64],
) -> (Vec<FolderModel>, Vec<usize>) {
    let mut states = vec![model];
    let mut acknowledged = vec![0];
    for &draw in draws {
        let mut next = states[states.len() - 1].clone();
        let change = next.change(draw);
        // Entries are separate records, so a crash may keep only the first ones.
        for count in 1..change.entries.len() {
            let mut part = states[states.len() - count].clone();
            part.entries.extend_from_slice(&change.entries[..count]);
            states.push(part);
        }
        states.push(next);
        if folder.append(&change).is_err() {
            break;
        }
        if draw & 0x80 != 0 {
            if folder.sync().is_err() {
                break;
            }
            acknowledged.push(states.len() - 1);
        }
    }
    (states, acknowledged)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against acknowledged entries that are lost in a crash.
    #[test]
    fn a_crash_keeps_acknowledged_changes(
        rounds in prop::collection::vec(
            (prop::collection::vec(any::<u64>(), 1..25), 0_u32..60, any::<u64>(), any::<bool>()),
            1..5,
        ),
    ) {
        let disk = FakeDisk::default();
        let mut model = FolderModel::default();
        for (draws, stop_after, seed, fails_sync) in rounds {
            let (mut folder, state) = open(&disk).expect("opens after a crash");
            prop_assert_eq!(FolderModel::of(&state), model.clone());
            if fails_sync {
                disk.fail_syncs(1);
            } else {
                disk.stop_after(stop_after);
            }
            let (states, acknowledged) = write(&mut folder, model, &draws);
            drop(folder);
            let mut draw = seed | 1;
            disk.crash(|below| {
                draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(99);
                (draw >> 33) % below
            });
            let (_, state) = open(&disk).expect("opens after a crash");
            let found = FolderModel::of(&state);
            let last = acknowledged[acknowledged.len() - 1];
            let kept = states[last..].contains(&found);
            prop_assert!(kept, "lost an acknowledged change");
            model = found;
        }
    }

    /// Guards against damaged data that is mistaken for an incomplete write.
    #[test]
    fn damaged_bytes_are_detected_and_never_skipped(
        draws in prop::collection::vec(any::<u64>(), 1..30),
        place in any::<prop::sample::Index>(),
        file in any::<prop::sample::Index>(),
        mask in 1_u8..,
    ) {
        let disk = FakeDisk::default();
        let (mut folder, _) = open(&disk).expect("opens");
        let synced: Vec<_> = draws.iter().map(|draw| draw | 0x80).collect();
        let (states, acknowledged) = write(&mut folder, FolderModel::default(), &synced);
        let before_last = acknowledged[acknowledged.len() - 2];
        drop(folder);
        let names = disk.names();
        let name = &names[file.index(names.len())];
        let length = disk.bytes(name).map_or(0, |bytes| bytes.len());
        if name != "boot" {
            disk.damage(name, place.index(length.max(1)), mask);
        }
        if let Ok((_, state)) = open(&disk) {
            let found = FolderModel::of(&state);
            let kept = states[before_last..].contains(&found);
            prop_assert!(kept, "damage in '{}' was skipped", name);
        }
    }

    /// Guards against a panic when a file holds arbitrary bytes; opening must fail instead.
    #[test]
    fn opening_arbitrary_bytes_fails_cleanly(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for name in ["identity", "vote", "log-0000000000000000", "boot"] {
            let disk = FakeDisk::default();
            drop(open(&disk).expect("opens"));
            disk.put(name, bytes.clone());
            let outcome = open(&disk);
            prop_assert!(outcome.is_err() || name == "boot");
        }
    }
}

fn change(term: u64) -> LogChange {
    LogChange {
        vote: Some(VoteRecord {
            term,
            voted_for: Some(term),
        }),
        ..LogChange::default()
    }
}

/// Guards against a second vote after one file of the folder was restored from a copy or lost.
#[test]
fn a_single_rolled_back_file_is_refused() {
    let disk = FakeDisk::default();
    let (mut folder, _) = open(&disk).expect("opens");
    let mut copies = Vec::new();
    for term in 1..4 {
        let names = disk.names();
        let files = names
            .into_iter()
            .map(|name| (disk.bytes(&name).unwrap_or_default(), name));
        copies.push(files.collect::<Vec<_>>());
        folder.append(&change(term)).expect("appends");
        folder.sync().expect("syncs");
    }
    drop(folder);
    let image = disk.image();
    for (bytes, name) in &copies[1] {
        if name == "identity" {
            continue;
        }
        disk.roll_back(&image);
        disk.put(name, bytes.clone());
        assert!(
            matches!(open(&disk), Err(LogError::RolledBack { .. })),
            "{name}"
        );
    }
}

/// Opens a folder at the time of day `wall_ms`.
fn open_at(disk: &FakeDisk, wall_ms: u64) -> (LogFolder, StoredState) {
    let settings = FolderSettings {
        min_start: wall_ms,
        ..settings()
    };
    let opened = LogFolder::open_on(DiskPort::Fake(disk.clone()), &settings);
    opened.expect("opens")
}

/// Start numbers of more members than a folder keeps.
fn many_starts() -> Vec<MemberStart> {
    let members = 100..200;
    let starts = members.map(|member| MemberStart { member, start: 7 });
    starts.collect()
}

/// Guards against a member whose messages count as those of an earlier start.
#[test]
fn start_numbers_grow_although_the_clock_is_set_back() {
    let disk = FakeDisk::default();
    assert_eq!(open_at(&disk, 1000).1.start, 1000);
    disk.crash(|_| 0);
    assert_eq!(open_at(&disk, 5).1.start, 1001);
    disk.crash(|_| 0);
    let (mut folder, state) = open_at(&disk, 1001);
    assert_eq!(state.start, 1002);
    for raised in [2000, 2001] {
        let change = LogChange {
            start: Some(raised),
            starts: many_starts(),
            ..change(raised)
        };
        folder.append(&change).expect("appends");
        folder.sync().expect("syncs");
    }
    drop(folder);
    disk.crash(|_| 0);
    let (mut folder, state) = open_at(&disk, 6);
    assert_eq!(state.start, 2002);
    assert!(state.starts.iter().all(|known| known.start == 7));
    let snapshot = StoredSnapshot {
        index: 1,
        term: 1,
        ..StoredSnapshot::default()
    };
    let change = LogChange {
        snapshot: Some(snapshot),
        ..LogChange::default()
    };
    folder.append(&change).expect("appends");
    drop(folder);
    disk.crash(|_| 0);
    assert_eq!(open_at(&disk, 6).1.start, 2003);
    assert_eq!(open_at(&disk, 3000).1.start, 3000);
}

/// Guards against a start number that is taken back.
#[test]
fn a_start_number_that_does_not_grow_is_refused() {
    let (mut folder, _) = open_at(&FakeDisk::default(), 1000);
    let change = LogChange {
        start: Some(1000),
        ..LogChange::default()
    };
    let outcome = folder.append(&change);
    assert!(matches!(outcome, Err(LogError::InvalidChange { .. })));
}

/// Guards against folders that were created in part and are taken for ones that were in use.
#[test]
fn an_interrupted_creation_is_completed() {
    for stop_after in 0..40 {
        let disk = FakeDisk::default();
        disk.stop_after(stop_after);
        drop(open(&disk));
        disk.crash(|below| below - 1);
        let (_, state) = open_at(&disk, 1000);
        assert_eq!(state.start, 1000, "after {stop_after} operations");
    }
}

/// The files of a folder without a start number of its own, with two votes and two entries.
const FOLDER_WITHOUT_START: [(&str, &str); 3] = [
    (
        "identity",
        "1900000041c3444d00000000000000000000000000000000000111000000000000",
    ),
    (
        "log-0000000000000000",
        "1900000041c3444d0000000000000000000000000000000000011100000000000011000000767f8d7501000000\
         00000000010000000000000005150000001762748102000000000000000200000000000000010101010118000000\
         d134eb8a03000000000000000200000000000000021281d095ffbc3118000000dc30abbe04000000000000000200\
         000000000000040101046b657074150000001aa21a1c050000000000000005000000000000000102020102180000\
         007245a51906000000000000000500000000000000021282d095ffbc3118000000b20930ac070000000000000005\
         00000000000000040202046b65707411000000f04d98b80800000000000000080000000000000005",
    ),
    (
        "vote",
        "150000005197d268020000000000000000000000000000000102020102",
    ),
];

/// Reads pairs of hexadecimal digits.
fn bytes_of(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    let bytes = pairs.map(|at| u8::from_str_radix(&digits[at..at + 2], 16));
    bytes.map(|byte| byte.expect("two digits")).collect()
}

/// Guards against folders of earlier versions that do not open, or begin below the time of day.
#[test]
fn a_folder_without_a_start_number_opens() {
    let disk = FakeDisk::default();
    for (name, digits) in FOLDER_WITHOUT_START {
        disk.put(name, bytes_of(digits));
    }
    let (_, state) = open_at(&disk, 1000);
    assert_eq!(state.start, 1000);
    assert_eq!(state.vote.term, 2);
    assert_eq!(state.entries.len(), 2);
    let known = MemberStart {
        member: 18,
        start: 1_700_000_000_002,
    };
    assert_eq!(state.starts, [known]);
    assert_eq!(open_at(&disk, 5).1.start, 1001);
}

/// Guards against acknowledgements after a failed sync.
#[test]
fn a_failed_sync_refuses_further_writes() {
    let disk = FakeDisk::default();
    let (mut folder, _) = open(&disk).expect("opens");
    folder.append(&change(1)).expect("appends");
    disk.fail_syncs(1);
    assert!(matches!(folder.sync(), Err(LogError::Disk { .. })));
    assert!(matches!(folder.sync(), Err(LogError::WritesRefused)));
    let again = folder.append(&change(2));
    assert!(matches!(again, Err(LogError::WritesRefused)));
    drop(folder);
    let (_, state) = open(&disk).expect("opens");
    disk.crash(|_| 0);
    let (_, after) = open(&disk).expect("opens");
    assert_eq!(state.vote, after.vote);
}

/// Guards against a full disk that ends the process or loses entries.
#[test]
fn a_full_disk_returns_an_error_and_loses_nothing() {
    let disk = FakeDisk::default();
    let (mut folder, _) = open(&disk).expect("opens");
    folder.append(&change(1)).expect("appends");
    folder.sync().expect("syncs");
    disk.set_capacity(Some(400));
    let entry = StoredEntry {
        index: 1,
        term: 1,
        bytes: vec![1; 1000],
    };
    let entries = LogChange {
        entries: vec![entry],
        ..LogChange::default()
    };
    folder.append(&entries).expect("appends");
    assert!(folder.sync().is_err());
    drop(folder);
    disk.set_capacity(None);
    let (_, state) = open(&disk).expect("opens");
    assert_eq!((state.vote.term, state.entries.len()), (1, 0));
}

/// Guards against two processes started on one folder by mistake, each of which would vote from its
/// own view of it.
#[test]
fn a_second_process_is_refused() {
    let temp = tempfile::tempdir().expect("a temporary folder");
    let settings = FolderSettings {
        path: temp.path().join("data"),
        ..settings()
    };
    let (mut folder, state) = LogFolder::open(&settings).expect("opens");
    assert!(state.is_new);
    assert!(matches!(LogFolder::open(&settings), Err(LogError::InUse)));
    let mut model = FolderModel::default();
    for draw in [0, 3 + 512, 4 + 768, 2 + 256, 5 + 1024] {
        folder.append(&model.change(draw)).expect("appends");
    }
    folder.sync().expect("syncs");
    drop(folder);
    let (_, state) = LogFolder::open(&settings).expect("opens");
    assert_eq!(FolderModel::of(&state), model);
    assert_eq!(state.identity, 17);
}
