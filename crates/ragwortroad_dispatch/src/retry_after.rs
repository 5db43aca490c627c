use std::time::Duration;

/// Shortest time after which a refused caller is asked to come back.
///
/// A surge of a moment is over by then, and an aim of half a second can still be met.
const LEAST_TIME: Duration = Duration::from_millis(160);

/// Part of the time that a caller has left for which it may be sent away.
///
/// Callers keep to a time that is a third of what they have left; one that is sent away for longer
/// comes back when it sees fit.
const LONGEST_PART: f64 = 0.3;

/// Least and most part of that time that is drawn, so that callers refused together do not return
/// together.
const DRAWN_PARTS: (f64, f64) = (0.5, 1.5);

/// When a caller that was refused is to come back; `draw` is between 0 and 1.
///
/// A load that has been too much for a while will be so for about as long again, and callers come
/// back once or twice only: one that returns too soon is refused for good. So it is sent away for as
/// long as requests have been refused (`shedding`), within what it has left.
pub fn retry_after_delay(shedding: Duration, time_left: Duration, draw: f64) -> Duration {
    let (least, most) = DRAWN_PARTS;
    let drawn = (LEAST_TIME + shedding).mul_f64(least + (most - least) * draw);
    let longest = time_left.mul_f64(LONGEST_PART);
    // Drawn again within the last half, where all would come at the longest time.
    match drawn > longest {
        true => longest.mul_f64(0.5 + draw / 2.0),
        false => drawn,
    }
}
