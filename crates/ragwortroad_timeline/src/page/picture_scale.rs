use crate::FleetTimeline;

/// Pixels a millisecond takes.
const PIXELS_PER_MS: f64 = 0.2;
/// Least distance of two events in one lane, so that both can be seen.
const MIN_SAME_LANE_GAP: f64 = 9.0;
/// Least distance of two events in different lanes.
const MIN_OTHER_LANE_GAP: f64 = 3.0;
/// Quiet times take no more than this; they are shown as cut.
const MAX_GAP: f64 = 120.0;

/// Where each event stands from left to right.
///
/// Not to scale: a failover takes milliseconds between seconds of silence, and to scale either
/// would be invisible.
pub(crate) struct PictureScale {
    /// Position of each event, by its index in the time line.
    ///
    /// Invariant: never falls from one event to the next.
    pub(crate) positions: Vec<f64>,
    /// Cuts: the position, and the milliseconds left out.
    pub(crate) cuts: Vec<(f64, u64)>,
    /// Right edge.
    pub(crate) width: f64,
}

impl PictureScale {
    /// Places the events of `timeline` from `left` on.
    pub(crate) fn new(timeline: &FleetTimeline, left: f64) -> Self {
        let mut positions = Vec::with_capacity(timeline.events.len());
        let mut cuts = Vec::new();
        let mut place = left;
        for (index, placed) in timeline.events.iter().enumerate() {
            if let Some(before) = index.checked_sub(1).map(|at| &timeline.events[at]) {
                let span = placed.event.stamp.wall_ms() - before.event.stamp.wall_ms();
                let least = if placed.lane == before.lane {
                    MIN_SAME_LANE_GAP
                } else {
                    MIN_OTHER_LANE_GAP
                };
                let step = (span as f64 * PIXELS_PER_MS).max(least);
                if step > MAX_GAP {
                    cuts.push((place + MAX_GAP / 2.0, span));
                }
                place += step.min(MAX_GAP);
            }
            positions.push(place);
        }
        Self {
            positions,
            cuts,
            width: place + 40.0,
        }
    }
}
