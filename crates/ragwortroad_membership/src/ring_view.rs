//! Who exchanges news with whom.
//!
//! Every node orders all present nodes in the same few rings and talks to the two next to it in
//! each. As all nodes know the same records, neighbours agree on being neighbours without any
//! negotiation, and one ring alone connects everybody. The first ring keeps regions and zones
//! together, so that most traffic stays within a zone; the others mix all nodes, which makes ways
//! short.

use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::NodeRecord;

/// A node's place in a ring.
type RingPlace = (u64, u64, NodeId);

/// The neighbours of `own` among `present`, which need not hold `own`.
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

/// The candidates next to a place in a ring, in both directions.
#[derive(Default)]
struct RingSides {
    /// The lowest place above ours.
    above: Option<RingPlace>,
    /// The highest place below ours.
    below: Option<RingPlace>,
    /// The lowest place of all, next above the highest.
    lowest: Option<RingPlace>,
    /// The highest place of all, next below the lowest.
    highest: Option<RingPlace>,
}

impl RingSides {
    /// Looks at one more node.
    fn consider(&mut self, own: RingPlace, other: RingPlace) {
        if other > own {
            self.above = Some(self.above.map_or(other, |place| place.min(other)));
        } else {
            self.below = Some(self.below.map_or(other, |place| place.max(other)));
        }
        self.lowest = Some(self.lowest.map_or(other, |place| place.min(other)));
        self.highest = Some(self.highest.map_or(other, |place| place.max(other)));
    }

    /// The two neighbours.
    fn neighbours(&self) -> impl Iterator<Item = NodeId> + use<> {
        let above = self.above.or(self.lowest);
        let below = self.below.or(self.highest);
        [above, below].into_iter().flatten().map(|place| place.2)
    }
}

/// The place of a node in `ring`.
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
