use crate::FleetTimeline;

const PIXELS_PER_MS: f64 = 0.2;
/// Minimum distance of two successive events in one lane, in pixels, so that both are visible.
const MIN_SAME_LANE_GAP: f64 = 9.0;
/// Minimum distance of two successive events in different lanes, in pixels.
const MIN_OTHER_LANE_GAP: f64 = 3.0;
/// Maximum distance of two successive events, in pixels; longer intervals are marked as shortened.
const MAX_GAP: f64 = 120.0;

/// Horizontal positions of the events.
///
/// The axis is not linear: a failover takes milliseconds between seconds without events, so that
/// on a linear axis the one or the other would be invisible.
pub(crate) struct PictureScale {
    /// Position of each event in pixels, by its index in the timeline.
    ///
    /// Invariant: never decreases from one event to the next.
    pub(crate) positions: Vec<f64>,
    /// Shortened intervals: the position in pixels and the length in milliseconds.
    pub(crate) cuts: Vec<(f64, u64)>,
    /// Width of the diagram in pixels.
    pub(crate) width: f64,
}

impl PictureScale {
    /// Computes the positions of the events of `timeline`; the first is at `left`.
    pub(crate) fn new(timeline: &FleetTimeline, left: f64) -> Self {
        let mut positions = Vec::with_capacity(timeline.events.len());
        let mut cuts = Vec::new();
        let mut place = left;
        for (index, placed) in timeline.events.iter().enumerate() {
            if let Some(previous) = index.checked_sub(1).map(|at| &timeline.events[at]) {
                let span = placed.event.stamp.wall_ms() - previous.event.stamp.wall_ms();
                let min_step = if placed.lane == previous.lane {
                    MIN_SAME_LANE_GAP
                } else {
                    MIN_OTHER_LANE_GAP
                };
                let step = (span as f64 * PIXELS_PER_MS).max(min_step);
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
