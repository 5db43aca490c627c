//! Selection of the neighbours that a node exchanges updates with.
//!
//! Every node sorts all present nodes into the same few rings, and its neighbours are the two
//! adjacent nodes in each ring. All nodes hold the same records and thus agree on who is whose
//! neighbour without negotiation. A single ring already connects all nodes. The first ring keeps
//! the nodes of a region and zone adjacent, so that most traffic stays within a zone; the others
//! shuffle all nodes, which keeps paths short.

use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::NodeRecord;

/// Sort key of a node in a ring.
type RingPlace = (u64, u64, NodeId);

/// Returns the neighbours of `own` among `present`; `own` itself may be missing there.
pub(crate) fn neighbours(
    own: &NodeRecord,
    present: &[(NodeId, &NodeRecord)],
    rings: u32,
) -> BTreeSet<NodeId> {
    let own_id = own.id();
    let mut found = BTreeSet::new();
    for ring in 0..rings {
        let own_place = place(own_id, own, ring);
        let mut sides = RingSides::default();
        for (id, record) in present {
            if *id != own_id {
                sides.consider(own_place, place(*id, record, ring));
            }
        }
        found.extend(sides.neighbours());
    }
    found
}

/// The candidates adjacent to a place in a ring, in both directions.
#[derive(Default)]
struct RingSides {
    /// The lowest place above the node's own.
    above: Option<RingPlace>,
    /// The highest place below the node's own.
    below: Option<RingPlace>,
    /// The lowest place of all; follows the highest, as the ring wraps around.
    lowest: Option<RingPlace>,
    /// The highest place of all; precedes the lowest.
    highest: Option<RingPlace>,
}

impl RingSides {
    /// Takes one more node into account.
    fn consider(&mut self, own: RingPlace, other: RingPlace) {
        if other > own {
            self.above = Some(self.above.map_or(other, |place| place.min(other)));
        } else {
            self.below = Some(self.below.map_or(other, |place| place.max(other)));
        }
        self.lowest = Some(self.lowest.map_or(other, |place| place.min(other)));
        self.highest = Some(self.highest.map_or(other, |place| place.max(other)));
    }

    /// Returns the two adjacent nodes.
    fn neighbours(&self) -> impl Iterator<Item = NodeId> + use<> {
        let above = self.above.or(self.lowest);
        let below = self.below.or(self.highest);
        [above, below].into_iter().flatten().map(|place| place.2)
    }
}

/// Returns the place of a node in `ring`.
fn place(id: NodeId, record: &NodeRecord, ring: u32) -> RingPlace {
    if ring == 0 {
        let region = xxh3_64(record.region.as_bytes());
        return (region, xxh3_64(record.zone.as_bytes()), id);
    }
    (
        xxh3_64_with_seed(&id.0.to_le_bytes(), u64::from(ring)),
        0,
        id,
    )
}
