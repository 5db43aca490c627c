//! The hint file on a fake disk that loses power.

use ragwortroad_log::prelude::*;

fn file(disk: &FakeDisk) -> HintFile {
    HintFile::new(DiskPort::Fake(disk.clone()))
}

/// Guards against a partial list of hints after a power loss.
#[test]
fn hints_survive_a_power_loss_whole() {
    for lost in 0..40 {
        let disk = FakeDisk::default();
        let mut hints = file(&disk);
        assert_eq!(hints.read().expect("an empty folder"), None);
        hints.write(b"the first ones").expect("writes");
        disk.stop_after(lost);
        let written = hints.write(b"others").is_ok();
        drop(hints);
        disk.crash(|_| 0);
        let found = file(&disk).read().expect("a folder").expect("hints");
        match written {
            true => assert_eq!(found, b"others"),
            false => assert!(
                found == b"the first ones" || found == b"others",
                "{found:?}"
            ),
        }
    }
}
