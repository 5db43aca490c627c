use crate::FleetTimeline;

/// Pixels a millisecond takes.
const PIXELS_PER_MS: f64 = 0.2;
/// Least distance of two events in one lane, so that both can be seen.
const LEAST_SAME_LANE: f64 = 9.0;
/// Least distance of two events in different lanes.
const LEAST_OTHER_LANE: f64 = 3.0;
/// Quiet times take no more than this; they are shown as cut.
const MOST: f64 = 120.0;

/// Where each event stands from left to right.
///
/// Not to scale: a failover takes milliseconds between seconds of silence, and to scale either
/// would be invisible.
pub(crate) struct PictureScale {
    /// Position of each event, by its index in the time line.
    ///
    /// Invariant: never falls from one event to the next.
    pub(crate) places: Vec<f64>,
    /// Cuts: the position, and the milliseconds left out.
    pub(crate) cuts: Vec<(f64, u64)>,
    /// Right edge.
    pub(crate) width: f64,
}

impl PictureScale {
    /// Places the events of `timeline` from `left` on.
    pub(crate) fn new(timeline: &FleetTimeline, left: f64) -> Self {
        let mut places = Vec::with_capacity(timeline.events.len());
        let mut cuts = Vec::new();
        let mut place = left;
        for (index, placed) in timeline.events.iter().enumerate() {
            if let Some(before) = index.checked_sub(1).map(|at| &timeline.events[at]) {
                let span = placed.event.stamp.wall_ms() - before.event.stamp.wall_ms();
                let least = if placed.lane == before.lane {
                    LEAST_SAME_LANE
                } else {
                    LEAST_OTHER_LANE
                };
                let step = (span as f64 * PIXELS_PER_MS).max(least);
                if step > MOST {
                    cuts.push((place + MOST / 2.0, span));
                }
                place += step.min(MOST);
            }
            places.push(place);
        }
        Self {
            places,
            cuts,
            width: place + 40.0,
        }
    }
}
