//! Tests that hybrid timestamps follow causality even if wall clocks are skewed or jump.

use proptest::prelude::*;
use ragwortroad_timeline::prelude::*;

/// A step of a run: an event on `node` and, where `to` is set, a message from `node` to `to`.
#[derive(Clone, Debug)]
struct RunStep {
    node: usize,
    to: Option<usize>,
    wall_jump: i64,
}

const NODES: usize = 5;

fn step() -> impl Strategy<Value = RunStep> {
    (
        0..NODES,
        proptest::option::of(0..NODES),
        -50_000_i64..50_000,
    )
        .prop_map(|(node, to, wall_jump)| RunStep {
            node,
            to,
            wall_jump,
        })
}

proptest! {
    /// Guards against timestamps that order an effect before its cause when wall clocks are skewed
    /// or jump; vector clocks serve as the reference.
    #[test]
    fn timestamps_follow_causality(
        skews in proptest::collection::vec(0_u64..600_000, NODES),
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut walls: Vec<u64> = skews.iter().map(|skew| 1_000_000 + skew).collect();
        let mut clocks = [HybridClock::default(); NODES];
        let mut vectors = [[0_u32; NODES]; NODES];
        let mut events: Vec<(HybridTime, [u32; NODES], usize)> = Vec::new();
        for step in steps {
            let node = step.node;
            walls[node] = walls[node].saturating_add_signed(step.wall_jump);
            vectors[node][node] += 1;
            let stamp = clocks[node].now(walls[node]);
            events.push((stamp, vectors[node], node));
            if let Some(to) = step.to.filter(|to| *to != node) {
                clocks[to].observe(stamp, walls[to]);
                let sent = vectors[node];
                for (count, seen) in vectors[to].iter_mut().zip(sent) {
                    *count = (*count).max(seen);
                }
                vectors[to][to] += 1;
                let received = clocks[to].now(walls[to]);
                events.push((received, vectors[to], to));
            }
        }
        for (index, (later, after, _)) in events.iter().enumerate() {
            for (earlier, before, node) in &events[..index] {
                let caused = before[*node] <= after[*node];
                prop_assert!(!caused || earlier < later, "{earlier} caused {later}");
            }
        }
    }

    /// Guards against timestamps that drift from the wall clock of a node that receives no
    /// messages.
    #[test]
    fn without_messages_timestamps_follow_the_wall_clock(walls in proptest::collection::vec(0_u64..1 << 40, 1..50)) {
        let mut clock = HybridClock::default();
        let mut highest = 0;
        for wall in walls {
            highest = highest.max(wall);
            let stamp = clock.now(wall);
            prop_assert_eq!(stamp.wall_ms(), highest);
        }
    }

    #[test]
    fn malformed_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(NodeTimeline::from_bytes(&bytes).is_err());
    }
}

#[test]
fn a_counter_overflow_carries_into_the_next_millisecond() {
    let mut clock = HybridClock::default();
    let first = clock.now(5);
    let last = (0..70_000).map(|_| clock.now(5)).last().unwrap();
    assert!(last > first);
    assert_eq!(last.wall_ms(), 6);
    clock.observe(HybridTime::from_wall_ms(90_000), 5);
    assert_eq!(clock.max_drift_ms(), 89_995);
    assert!(clock.now(5) > HybridTime::from_wall_ms(90_000));
}
