//! A customer's limit holds over the whole fleet, and all of it can be used.

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

const NODES: usize = 9;
const CUSTOMER: CustomerKey = CustomerKey(7);

/// Nodes that exchange digests once a second.
struct Fleet {
    limiters: Vec<CustomerLimiter>,
    ids: Vec<NodeId>,
    messages: usize,
}

impl Fleet {
    fn new(limit: CustomerLimit) -> Self {
        let ids: Vec<NodeId> = (1..=NODES as u64).map(NodeId).collect();
        let limiters = ids
            .iter()
            .map(|node| {
                let mut limiter = CustomerLimiter::new(LimiterSettings {
                    node: *node,
                    ..LimiterSettings::default()
                });
                limiter.set_nodes(&ids, ClockTime::ZERO);
                limiter.set_limit(CUSTOMER, limit, ClockTime::ZERO);
                limiter
            })
            .collect();
        Self {
            limiters,
            ids,
            messages: 0,
        }
    }

    fn index(&self, node: NodeId) -> usize {
        let found = self.ids.iter().position(|id| *id == node);
        found.expect("the digest is for a node of the fleet")
    }

    fn exchange(&mut self, now: ClockTime) {
        for node in 0..NODES {
            for (coordinator, digest) in self.limiters[node].demands(now) {
                self.messages += 1;
                let coordinator = self.index(coordinator);
                self.limiters[coordinator].merge_demand(self.ids[node], &digest, now);
            }
        }
        for node in 0..NODES {
            for (other, digest) in self.limiters[node].shares(now) {
                self.messages += 1;
                let other = self.index(other);
                self.limiters[other].merge_share(&digest, now);
            }
        }
    }

    /// Runs for `seconds` with `rate` requests per second, distributed over the nodes by `weights`;
    /// returns how many were admitted and refused.
    fn run(&mut self, seed: u64, seconds: u64, rate: f64, weights: &[f64; NODES]) -> (u64, u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let sum: f64 = weights.iter().sum();
        let (mut admitted, mut refused) = (0, 0);
        for milli in 0..seconds * 1000 {
            let now = ClockTime(1 + milli);
            if milli % 1000 == 999 {
                self.exchange(now);
            }
            if rng.random::<f64>() >= rate / 1000.0 {
                continue;
            }
            let mut point = rng.random::<f64>() * sum;
            let node = weights.iter().position(|weight| {
                point -= weight;
                point < 0.0
            });
            let limiter = &mut self.limiters[node.unwrap_or(0)];
            match limiter.admit(CUSTOMER, 0, now) {
                LimitAnswer::Admitted { .. } => {
                    limiter.finish(CUSTOMER, 0, 0);
                    admitted += 1;
                }
                LimitAnswer::Refused { .. } => refused += 1,
            }
        }
        (admitted, refused)
    }
}

fn rate_limit(requests_per_s: f64) -> CustomerLimit {
    CustomerLimit {
        requests_per_s,
        tokens_per_s: 1e9,
        concurrent: 10_000,
        ..CustomerLimit::default()
    }
}

/// Guards against limits that a customer can use in full at each node.
#[test]
fn a_surge_over_all_nodes_is_held_to_the_limit() {
    for (seed, weights) in [(1, [1.0; NODES]), (2, skewed())] {
        let mut fleet = Fleet::new(rate_limit(20.0));
        let (admitted, _) = fleet.run(seed, 120, 200.0, &weights);
        // The rate, and once the initial bursts.
        let most = 20.0 * 120.0 + 20.0 * 5.0 + 3.0 * NODES as f64;
        assert!(admitted as f64 <= most, "{admitted} of at most {most}");
        assert!(admitted as f64 >= 0.9 * 20.0 * 120.0, "only {admitted}");
        let each = fleet.messages as f64 / (NODES as f64 * 120.0);
        assert!(each < 2.0, "{each} messages per node and second");
    }
}

/// Guards against customers that are refused below their limit because their requests arrive at
/// nodes without a share.
#[test]
fn a_customer_below_its_limit_is_rarely_refused() {
    // Before its share arrives, a node admits three requests, or a few seconds' worth of its even
    // part. More in a row at one node happen only by chance at one request every two seconds, and
    // are rare at thirty per second.
    for (rate, most) in [(0.5, 0.04), (3.0, 0.02), (30.0, 0.002)] {
        for weights in [[1.0; NODES], skewed()] {
            let mut fleet = Fleet::new(rate_limit(3.0 * rate));
            let (admitted, refused) = fleet.run(3, 300, rate, &weights);
            let share = refused as f64 / (admitted + refused) as f64;
            assert!(
                share < most,
                "{refused} of {} at {rate}/s",
                admitted + refused
            );
        }
    }
}

/// Guards against concurrency shares that add up to more than the limit while demand moves between
/// nodes: many slow requests of one customer run through all of them.
#[test]
fn places_at_work_never_exceed_the_limit() {
    let mut fleet = Fleet::new(CustomerLimit {
        requests_per_s: 1e6,
        tokens_per_s: 1e9,
        concurrent: 40,
        ..CustomerLimit::default()
    });
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut most = 0;
    for step in 0..20_000 {
        let now = ClockTime(1 + step * 5);
        if step % 200 == 199 {
            fleet.exchange(now);
        }
        // Most of the demand moves from node to node.
        let node = (rng.random_range(0..3) + step as usize / 4_000) % NODES;
        if rng.random::<f64>() < 0.55 {
            fleet.limiters[node].admit(CUSTOMER, 0, now);
        } else {
            for limiter in &mut fleet.limiters {
                if limiter.running(CUSTOMER) > 0 && rng.random::<f64>() < 0.3 {
                    limiter.finish(CUSTOMER, 0, 0);
                }
            }
        }
        let running: u32 = fleet
            .limiters
            .iter()
            .map(|limiter| limiter.running(CUSTOMER))
            .sum();
        most = most.max(running);
    }
    assert!(most >= 20, "the limit was never approached: {most}");
    assert!(most <= 40, "{most} at once where 40 were allowed");
}

fn skewed() -> [f64; NODES] {
    [32.0, 16.0, 8.0, 4.0, 2.0, 1.0, 0.5, 0.25, 0.25]
}
