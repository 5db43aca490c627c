/// Factor by which a customer may want more than its share and still get what it wants.
///
/// What a customer wants varies by as much from one report to the next. If its share were enforced
/// each time, one that wants about its share would lose requests, while the customer that fills the
/// room gains nothing noticeable.
const TOLERANCE: f64 = 1.5;

/// Smallest share of the others, relative to that without the tolerance.
const MIN_REST_RATIO: f64 = 0.6;

/// Room divided among demands by max-min fairness, with a tolerance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RoomDivision {
    /// Share of a demand of weight 1; infinite if all demands fit.
    pub(crate) level: f64,
    /// Number of the smallest demands that get what they want.
    pub(crate) satisfied: usize,
    /// Share of each other demand of weight 1.
    pub(crate) rest_level: f64,
}

impl RoomDivision {
    /// Divides the room among demands, each with its weight.
    ///
    /// They have to be sorted by demand per weight.
    pub(crate) fn of(demands: &[(f64, f64)], room: f64) -> Self {
        let mut weight_left: f64 = demands.iter().map(|(_, weight)| weight).sum();
        let mut room_left = room.max(0.0);
        let mut level = None;
        for (position, (wanted, weight)) in demands.iter().enumerate() {
            let rest_level = room_left / weight_left;
            let first = *level.get_or_insert(rest_level);
            if *wanted < rest_level * weight {
                level = None;
            } else {
                let rest_after = (room_left - wanted) / (weight_left - weight);
                let is_tolerated = *wanted <= first * weight * TOLERANCE
                    && rest_after >= first * MIN_REST_RATIO
                    && position + 1 < demands.len();
                if !is_tolerated {
                    return Self {
                        level: first,
                        satisfied: position,
                        rest_level,
                    };
                }
            }
            room_left -= wanted;
            weight_left -= weight;
        }
        Self {
            level: f64::INFINITY,
            satisfied: demands.len(),
            rest_level: f64::INFINITY,
        }
    }
}
