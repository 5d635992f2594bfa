//! Days, which date the caller's key and name the ledger's segments.
//!
//! Invariant: a [`LedgerDay`] is a real day of the Gregorian calendar between
//! 1970 and 9999, counted in UTC.

use std::fmt;

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;
/// The last day that four digits of a year can name.
const LAST_DAY: u32 = 2_932_896;
/// Days from 0000-03-01, where the calendar's cycle starts, to 1970-01-01.
const EPOCH_OFFSET: u32 = 719_468;
/// Days in the calendar's cycle of 400 years.
const CYCLE_DAYS: u32 = 146_097;

/// A day, counted from 1970-01-01 in UTC.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LedgerDay(u32);

impl LedgerDay {
    /// The day of a wall-clock time in milliseconds since 1970.
    ///
    /// ```
    /// use berylmount_ledger::LedgerDay;
    ///
    /// assert_eq!(LedgerDay::of_unix_ms(1_796_342_400_000).to_string(), "20261204");
    /// ```
    pub fn of_unix_ms(unix_ms: u64) -> Self {
        let day = (unix_ms / DAY_MS).min(u64::from(LAST_DAY));
        Self(day as u32)
    }

    /// Parses `YYYYMMDD`; other texts and days that do not exist give `None`.
    ///
    /// ```
    /// use berylmount_ledger::LedgerDay;
    ///
    /// let day = LedgerDay::parse("20240229").unwrap();
    /// assert_eq!(day.to_string(), "20240229");
    /// assert_eq!(LedgerDay::parse("20230229"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 8 || !text.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let date: u32 = text.parse().ok()?;
        let (year, month, day) = (date / 10_000, date / 100 % 100, date % 100);
        if year < 1970 || !(1..=12).contains(&month) || !(1..=31).contains(&day) {
            return None;
        }
        let number = day_number(year, month, day);
        (civil_date(number) == (year, month, day)).then_some(Self(number))
    }

    /// The day `count` days later.
    ///
    /// ```
    /// use berylmount_ledger::LedgerDay;
    ///
    /// let day = LedgerDay::parse("20261231").unwrap();
    /// assert_eq!(day.plus(1).to_string(), "20270101");
    /// assert_eq!(day.plus(1).minus(1), day);
    /// ```
    pub fn plus(self, count: u32) -> Self {
        Self(self.0.saturating_add(count).min(LAST_DAY))
    }

    /// The day `count` days earlier, at the least 1970-01-01.
    pub fn minus(self, count: u32) -> Self {
        Self(self.0.saturating_sub(count))
    }
}

impl fmt::Display for LedgerDay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = civil_date(self.0);
        write!(f, "{year:04}{month:02}{day:02}")
    }
}

/// Days from 1970-01-01 to a date; months start in March inside a cycle.
fn day_number(year: u32, month: u32, day: u32) -> u32 {
    let year = if month <= 2 { year - 1 } else { year };
    let (cycle, year) = (year / 400, year % 400);
    let month = (month + 9) % 12;
    let day = (153 * month + 2) / 5 + day - 1;
    let day = year * 365 + year / 4 - year / 100 + day;
    (cycle * CYCLE_DAYS + day).saturating_sub(EPOCH_OFFSET)
}

/// The year, month and day of a day number.
fn civil_date(number: u32) -> (u32, u32, u32) {
    let number = number + EPOCH_OFFSET;
    let (cycle, day) = (number / CYCLE_DAYS, number % CYCLE_DAYS);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day_of_month = day - (153 * month + 2) / 5 + 1;
    let civil_month = if month < 10 { month + 3 } else { month - 9 };
    let carry = u32::from(civil_month <= 2);
    (cycle * 400 + year + carry, civil_month, day_of_month)
}
