//! Replicas leave while edges are restarted in turn.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    fleet::{Process, SIGTERM},
    site::{Departure, Site, play},
};

const LEAVE_GAP: Duration = Duration::from_millis(1000);
/// Edges that are restarted in turn, half of them.
const RESTARTED: usize = 4;
const RESTART_GAP: Duration = Duration::from_millis(1000);

/// Time from the first restart to the first goodbye; an edge drains before it ends.
const HEAD_START: Duration = Duration::from_millis(3200);

pub fn play_case(folder: &Path, has_trouble: bool) -> io::Result<Finding> {
    let departure = Departure {
        gap: LEAVE_GAP,
        home: |replica, registries| replica.pick(registries),
        // The goodbye is a call of its own, for which a node is picked again.
        told: |replica, registries, _| replica.pick(registries),
        on_ack: Box::new(|_, _| ()),
    };
    play(folder, departure, |site| match has_trouble {
        true => restart_edges(site),
        false => Ok(()),
    })
}

fn restart_edges(site: &mut Site) -> io::Result<()> {
    let first = site.leaves_at - HEAD_START;
    let mut restarts = Vec::new();
    for (index, mut edge) in site.edges.drain(..RESTARTED).enumerate() {
        let at = first + RESTART_GAP * index as u32;
        let record = site.record.clone();
        restarts.push(thread::spawn(move || -> io::Result<(Process, f64)> {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            record.add(format!("{} gets SIGTERM", edge.name));
            edge.signal(SIGTERM);
            edge.wait(Duration::from_secs(8));
            thread::sleep(Duration::from_millis(200));
            let started_at = record.add(format!("{} ({}) starts again", edge.name, edge.ip));
            edge.start()?;
            Ok((edge, started_at))
        }));
    }
    for restart in restarts {
        let (edge, at) = restart.join().unwrap()?;
        site.log.edges_started.insert(edge.ip, at);
        site.edges.push(edge);
    }
    Ok(())
}
