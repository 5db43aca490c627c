//! Parsers for values: numbers, rates, shares, ranges, durations, sizes, multiples and key hashes.

use winnow::{
    ModalResult,
    Parser,
    ascii::{
        dec_uint,
        digit1, //
    },
    combinator::{
        alt,
        opt,
        preceded,
        separated_pair,
        terminated, //
    },
    token::rest, //
};

use ragwortroad_state::prelude::*;

/// An integer such as `20`.
pub(crate) fn number<T: TryFrom<u64>>(input: &mut &str) -> ModalResult<T> {
    dec_uint::<_, u64, _>
        .verify_map(|value| T::try_from(value).ok())
        .parse_next(input)
}

/// A rate per second: `20/s` or `20`.
pub(crate) fn rate(input: &mut &str) -> ModalResult<u32> {
    terminated(number, opt("/s")).parse_next(input)
}

/// A percentage: `25%` or `25`.
pub(crate) fn percent(input: &mut &str) -> ModalResult<u32> {
    terminated(number, opt("%")).parse_next(input)
}

/// A range such as `2..6`; a single number is both ends.
pub(crate) fn range(input: &mut &str) -> ModalResult<(u32, u32)> {
    alt((
        separated_pair(number, "..", number),
        number.map(|count| (count, count)),
    ))
    .parse_next(input)
}

/// A duration such as `90s`, `15m`, `24h` or `7d`, in seconds.
pub(crate) fn duration(input: &mut &str) -> ModalResult<u32> {
    let unit = alt((
        "s".value(1u64),
        "m".value(60),
        "h".value(3600),
        "d".value(86_400),
    ));
    (number::<u64>, unit)
        .verify_map(|(count, unit)| u32::try_from(count.checked_mul(unit)?).ok())
        .parse_next(input)
}

/// A size such as `16000mb` or `16gb`, in megabytes.
pub(crate) fn size(input: &mut &str) -> ModalResult<u32> {
    let unit = alt(("mb".value(1u32), "gb".value(1000)));
    (number::<u32>, unit)
        .verify_map(|(count, unit)| count.checked_mul(unit))
        .parse_next(input)
}

/// A decimal with up to three fraction digits such as `1.25`, in thousandths.
pub(crate) fn multiple(input: &mut &str) -> ModalResult<u32> {
    let fraction = preceded('.', digit1).verify_map(|digits: &str| {
        let padded = format!("{digits:0<3}");
        (digits.len() <= 3)
            .then(|| padded.parse::<u32>().ok())
            .flatten()
    });
    (number::<u32>, opt(fraction))
        .verify_map(|(whole, fraction)| whole.checked_mul(1000)?.checked_add(fraction.unwrap_or(0)))
        .parse_next(input)
}

/// A key hash of 64 hexadecimal digits.
pub(crate) fn key_hash(input: &mut &str) -> ModalResult<KeyHash> {
    rest.verify_map(KeyHash::from_hex).parse_next(input)
}
