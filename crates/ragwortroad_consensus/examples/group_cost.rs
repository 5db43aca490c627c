//! Measures, on a simulated network and simulated disks, the traffic of idle and busy groups, the
//! time without a leader, and the cost of catching up after a restart.
//!
//! One-way message latency is 0.5 to 6 ms, and a sync takes 0.2 to 8 ms.
//!
//! ```sh
//! cargo run --release -p ragwortroad_consensus --example group_cost
//! ```

// The schedule tests use the rest of the module.
#[allow(dead_code)]
#[path = "../tests/schedules/world/mod.rs"]
mod world;

use ragwortroad_consensus::prelude::*;
use world::{
    SimPlan,
    SimWorld, //
};

fn fault_free_world(seed: u64, nodes: usize) -> SimWorld {
    let mut world = SimWorld::new(SimPlan {
        seed,
        nodes,
        initial_members: nodes,
        client_every_ms: 100_000_000,
        core: CoreSettings::default(),
        ..SimPlan::default()
    });
    world.is_fault_free = true;
    world.run_until(8_000_000);
    world
}

fn acting_node(world: &SimWorld) -> Option<usize> {
    (0..world.nodes.len()).find(|&node| {
        let now = world.local_time(node);
        let target = &world.nodes[node];
        !target.is_paused
            && target
                .core()
                .is_some_and(|core| core.may_act_as_leader(now))
    })
}

fn main() {
    println!("Idle group, without transport overhead:");
    for nodes in [3, 5, 7] {
        quiet(nodes);
    }
    println!("Busy group, 1000 commands per second of 8 to 119 bytes:");
    for nodes in [3, 5, 7] {
        busy(nodes);
    }
    println!("Time without an acting leader, in lease lengths:");
    for nodes in [3, 5, 7] {
        failover("leader lost", nodes, |world, leader| {
            world.nodes[leader].is_paused = true;
        });
        failover("leadership transfer", nodes, |world, leader| {
            world.input(leader, CoreInput::TransferLeadership);
        });
    }
    println!("Catching up after a restart, three members, commands of 8 to 119 bytes:");
    for missed in [100, 1000, 10_000, 100_000] {
        catch_up(missed);
    }
}

fn quiet(nodes: usize) {
    let mut world = fault_free_world(1, nodes);
    let before = world.counts.clone();
    world.run_until(68_000_000);
    let messages = (world.counts.messages - before.messages) as f64 / 60.0;
    let bytes = (world.counts.message_bytes - before.message_bytes) as f64 / 60.0;
    let each = bytes / nodes as f64;
    println!(
        "  {nodes} members: {messages:.1} messages/s, {bytes:.0} B/s, {each:.0} B/s per member"
    );
}

fn busy(nodes: usize) {
    let mut world = fault_free_world(1, nodes);
    let Some(leader) = acting_node(&world) else {
        return println!("  no leader");
    };
    let before = world.counts.clone();
    let mut waiting = 0;
    for _ in 0..10_000 {
        let token = world.token();
        world.propose(leader, token);
        world.run_until(world.now_us + 1000);
        waiting += world.counts.proposed - world.counts.accepted;
    }
    let accepted = (world.counts.accepted - before.accepted) as f64;
    let messages = (world.counts.messages - before.messages) as f64 / accepted;
    let bytes = (world.counts.message_bytes - before.message_bytes) as f64 / accepted;
    // By Little's law, with one command proposed per millisecond.
    let mean = waiting as f64 / 10_000.0;
    println!(
        "  {nodes} members: mean commit latency {mean:.1} ms, \
         {messages:.2} messages and {bytes:.0} bytes per command"
    );
}

/// Runs many groups, ends the leadership of each with `end`, and measures the time until another
/// member may act as leader.
fn failover(title: &str, nodes: usize, end: impl Fn(&mut SimWorld, usize)) {
    let lease = CoreSettings::default().lease_span().as_millis() as f64;
    let mut spans = Vec::new();
    for seed in 0..300 {
        let mut world = fault_free_world(seed, nodes);
        let started_us = world.now_us + seed * 1003;
        world.run_until(started_us);
        let Some(leader) = acting_node(&world) else {
            continue;
        };
        end(&mut world, leader);
        while acting_node(&world).is_none() {
            world.run_until(world.now_us + 1000);
        }
        spans.push((world.now_us - started_us) as f64 / 1000.0 / lease);
    }
    spans.sort_unstable_by(f64::total_cmp);
    let at = |percent: usize| spans[(spans.len() - 1) * percent / 100];
    println!(
        "  {title}, {nodes} members: p50 {:.2}, p99 {:.2}, max {:.2} ({} runs, lease {lease} ms)",
        at(50),
        at(99),
        at(100),
        spans.len()
    );
}

fn catch_up(missed: u64) {
    let mut world = fault_free_world(3, 3);
    let Some(leader) = acting_node(&world) else {
        return println!("  no leader");
    };
    let lagging = (leader + 1) % 3;
    world.nodes[lagging].process = None;
    world.nodes[lagging].epoch += 1;
    for _ in 0..missed.div_ceil(100) {
        for _ in 0..100 {
            let token = world.token();
            world.propose(leader, token);
        }
        world.run_until(world.now_us + 100_000);
    }
    world.run_until(world.now_us + 1_000_000);
    let commit = |world: &SimWorld, node: usize| {
        let core = world.nodes[node].core();
        core.map_or(0, ConsensusCore::commit_index)
    };
    let target = commit(&world, leader);
    let started_us = world.now_us;
    let before = world.counts.message_bytes;
    world.start(lagging);
    while commit(&world, lagging) < target {
        world.run_until(world.now_us + 1000);
    }
    let span = (world.now_us - started_us) / 1000;
    let bytes = world.counts.message_bytes - before;
    println!("  {missed} entries missed: {span} ms, {bytes} bytes");
}
