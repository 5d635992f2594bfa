//! Parsing and formatting of values with units: durations and sizes.

use std::time::Duration;

/// Units of a duration and their length in milliseconds, longest first.
const DURATION_UNITS: &[(&str, u64)] =
    &[("h", 3_600_000), ("min", 60_000), ("s", 1_000), ("ms", 1)];

/// Units of a size and their length in bytes, largest first.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Parses a number followed by a unit, and returns the value in the smallest unit.
fn parse_units(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(split);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    digits.parse::<u64>().ok()?.checked_mul(*factor)
}

/// Formats `value` in the largest unit that divides it without remainder.
fn format_units(value: u64, units: &[(&str, u64)]) -> String {
    let whole = |&&(_, factor): &&(&str, u64)| value != 0 && value.is_multiple_of(factor);
    match units.iter().find(whole) {
        Some((unit, factor)) => format!("{}{unit}", value / factor),
        None => format!("0{}", units.last().map_or("", |(unit, _)| unit)),
    }
}

/// Parses a duration such as `840ms`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    parse_units(text, DURATION_UNITS).map(Duration::from_millis)
}

/// Formats a duration for [`parse_duration`].
pub(crate) fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    format_units(millis, DURATION_UNITS)
}

/// Parses a size such as `64KiB`; returns it in bytes.
pub(crate) fn parse_size(text: &str) -> Option<u64> {
    parse_units(text, SIZE_UNITS)
}

/// Formats a size in bytes for [`parse_size`].
pub(crate) fn format_size(bytes: u64) -> String {
    format_units(bytes, SIZE_UNITS)
}
