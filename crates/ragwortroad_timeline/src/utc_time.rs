const DAY_MS: u64 = 86_400_000;
/// Days in an era: the 400 years after which the Gregorian calendar repeats.
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 1 March of the year 0, where the first era starts, to 1 January 1970.
const UNIX_EPOCH_DAYS: u64 = 719_468;

/// Formats `wall_ms`, in milliseconds since 1970, as `YYYY-MM-DDThh:mm:ss.mmmZ`.
pub(crate) fn utc_text(wall_ms: u64) -> String {
    let (year, month, day) = civil_date(wall_ms / DAY_MS);
    let clock = clock_text(wall_ms);
    format!("{year:04}-{month:02}-{day:02}T{clock}Z")
}

/// Formats the time of day of `wall_ms` as `23:13:16.007`.
pub(crate) fn clock_text(wall_ms: u64) -> String {
    let of_day = wall_ms % DAY_MS;
    let (seconds, millis) = (of_day / 1000, of_day % 1000);
    let (hours, minutes) = (seconds / 3600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}

/// Converts `days` since 1 January 1970 to year, month and day.
///
/// The computation starts each year in March: the leap day is then the last day of its year, and a
/// linear formula gives the lengths of the months.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + UNIX_EPOCH_DAYS;
    let (era, of_era) = (shifted / DAYS_PER_ERA, shifted % DAYS_PER_ERA);
    let year_of_era = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
