//! Replicas that crash under some requests and start again.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
};

use crate::{
    caller::send,
    replica::Replica, //
};

/// Replicas of the service.
const REPLICAS: u64 = 3;

/// The service `frail` of [`open_document`](crate::document::open_document), whose replicas crash
/// under requests for a path that ends with `/crash`.
pub(crate) struct FrailPool {
    replicas: Mutex<FrailReplicas>,
    next_start: AtomicU64,
}

#[derive(Default)]
struct FrailReplicas {
    running: Vec<Replica>,
    crashed: Vec<Replica>,
}

impl FrailPool {
    pub(crate) fn start() -> Self {
        let start = |number| Replica::start(&format!("i-frail-{number}"));
        let replicas = FrailReplicas {
            running: (0..REPLICAS).map(start).collect(),
            crashed: Vec::new(),
        };
        Self {
            replicas: Mutex::new(replicas),
            next_start: AtomicU64::new(100),
        }
    }

    /// Starts crashed replicas again, at their addresses and under new names.
    pub(crate) fn restart_crashed(&self) {
        let mut replicas = self.replicas.lock().expect("a thread panicked");
        let replicas = &mut *replicas;
        for replica in &mut replicas.running {
            if replica.has_crashed() {
                let start = self.next_start.fetch_add(1, Ordering::SeqCst);
                let name = format!("i-frail-{start}");
                let next = Replica::start_at(replica.address, &name, start);
                replicas.crashed.push(std::mem::replace(replica, next));
            }
        }
    }

    /// Announces each running replica to the first registry that accepts the announcement.
    pub(crate) fn announce(&self, registries: &[SocketAddr], sequence: u64) {
        let announcements: Vec<(String, String)> = {
            let replicas = self.replicas.lock().expect("a thread panicked");
            let running = replicas.running.iter();
            let running = running.filter(|replica| !replica.has_crashed());
            running
                .map(|replica| announcement(replica, sequence))
                .collect()
        };
        for (line, body) in announcements {
            registries
                .iter()
                .any(|registry| send(*registry, &line, &[], body.as_bytes()).status == 200);
        }
    }

    /// Number of replicas that have crashed under requests for `path`.
    pub(crate) fn crashes(&self, path: &str) -> usize {
        let replicas = self.replicas.lock().expect("a thread panicked");
        let all = replicas.running.iter().chain(&replicas.crashed);
        all.filter(|replica| replica.runs(path) > 0).count()
    }
}

fn announcement(replica: &Replica, sequence: u64) -> (String, String) {
    let Replica {
        name,
        address,
        started_ms,
        ..
    } = replica;
    let body = format!(
        "{{\"service\":\"frail\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{sequence},\
         \"born\":{started_ms}}}"
    );
    (format!("PUT /instances/{name}"), body)
}
