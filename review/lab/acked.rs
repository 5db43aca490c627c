//! A registry loses power right after it has acknowledged that replicas leave.

use std::{
    io,
    path::Path,
    sync::mpsc::channel,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    fleet::kill_process,
    site::{Departure, LEAVERS, Site, play},
};

/// Time between the two goodbyes of one step of a scale-in.
const LEAVE_GAP: Duration = Duration::from_millis(12);

/// Registry to which both replicas report; not one of the seeds.
const HOME: usize = 3;

/// Time from the loss of power to the next start.
const DARK_TIME: Duration = Duration::from_millis(500);

pub fn play_case(folder: &Path, has_trouble: bool) -> io::Result<Finding> {
    // Set once the processes run.
    let id = std::sync::Arc::new(std::sync::atomic::AtomicU32::new(0));
    let (killed, is_killed) = channel();
    let target = std::sync::Arc::clone(&id);
    let departure = Departure {
        gap: LEAVE_GAP,
        home: |_, _| HOME,
        // The registry that acknowledged the last heartbeat.
        told: |_, _, home| home,
        on_ack: Box::new(move |before, registry| {
            if has_trouble && before + 1 == LEAVERS && registry == HOME {
                kill_process(target.load(std::sync::atomic::Ordering::SeqCst));
                killed.send(Instant::now()).ok();
            }
        }),
    };
    play(folder, departure, |site| {
        id.store(
            site.registries[HOME].id(),
            std::sync::atomic::Ordering::SeqCst,
        );
        if !has_trouble {
            return Ok(());
        }
        let limit = site.leaves_at + Duration::from_secs(5);
        let limit = limit.saturating_duration_since(Instant::now());
        let killed_at = is_killed
            .recv_timeout(limit)
            .map_err(|_| io::Error::other("the registry did not acknowledge both goodbyes"))?;
        restart(site, killed_at)
    })
}

fn restart(site: &mut Site, killed_at: Instant) -> io::Result<()> {
    site.record
        .add(format!("{} has lost power", site.registries[HOME].name));
    thread::sleep((killed_at + DARK_TIME).saturating_duration_since(Instant::now()));
    site.registries[HOME].kill();
    site.log.core_disturbed = site
        .record
        .add(format!("{} starts again", site.registries[HOME].name));
    site.registries[HOME].start()
}
