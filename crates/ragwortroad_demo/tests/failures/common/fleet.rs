use std::{
    ops::{
        Deref,
        DerefMut, //
    },
    sync::{
        Condvar,
        Mutex, //
    },
};

use ragwortroad_demo::prelude::*;
use tracing_subscriber::EnvFilter;

/// Maximum number of fleets that run at once; more would slow each other down.
const MAX_FLEETS: usize = 5;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The fleet of one test; counts toward [`MAX_FLEETS`] until it is dropped.
pub(crate) struct TestFleet(Option<SmallFleet>);

impl TestFleet {
    /// Waits for its turn, starts a fleet and declares its configuration.
    pub(crate) fn start(plan: FleetPlan) -> Self {
        // RUST_LOG enables logs; only the first test in the process can install the subscriber.
        tracing_subscriber::fmt()
            .with_env_filter(EnvFilter::from_default_env())
            .try_init()
            .unwrap_or_default();
        let mut running = RUNNING.lock().unwrap();
        while *running >= MAX_FLEETS {
            running = ENDED.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        let test = Self(Some(SmallFleet::start(plan).unwrap()));
        test.declare().unwrap();
        test
    }

    /// Returns the client address (`IP:port`) of the node with this number.
    pub(crate) fn address(&self, number: usize) -> String {
        self.settings[number].node.listen.to_string()
    }

    /// Waits until one of `nodes` reports one of them as the leader, and returns its number.
    pub(crate) fn wait_for_leader(&self, nodes: &[usize]) -> usize {
        let mut found = None;
        wait_until("a leader", || {
            found = self.leader(nodes).filter(|leader| nodes.contains(leader));
            found.is_some()
        })
        .unwrap();
        found.unwrap()
    }

    /// Crashes all nodes, then restarts them with their data folders.
    pub(crate) fn restart_all(&mut self) {
        for number in 0..self.nodes.len() {
            self.crash_node(number);
        }
        for number in 0..self.nodes.len() {
            self.restart_node(number).unwrap();
        }
    }
}

impl Deref for TestFleet {
    type Target = SmallFleet;

    fn deref(&self) -> &SmallFleet {
        self.0.as_ref().unwrap()
    }
}

impl DerefMut for TestFleet {
    fn deref_mut(&mut self) -> &mut SmallFleet {
        self.0.as_mut().unwrap()
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if let Some(fleet) = self.0.take() {
            fleet.heal_partition();
            fleet.stop();
        }
        if let Ok(mut running) = RUNNING.lock() {
            *running -= 1;
        }
        ENDED.notify_one();
    }
}
