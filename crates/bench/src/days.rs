//! Tables of played days, from the journal that the users' bench writes.
//!
//! The bench leaves one JSON file a run. A table has a line a day; two tables
//! are compared by site and day, and a difference within the bench's own noise
//! is none.

use serde_json::Value;
use std::{fmt, str::FromStr};

/// Difference of worth that the bench calls noise.
pub const WORTH_NOISE: f64 = 0.03;

/// One played day.
#[derive(Clone, Debug, PartialEq)]
pub struct DayLine {
    /// The site's name.
    pub site: String,
    /// The day's name.
    pub day: String,
    /// What callers got, less prices.
    pub worth: f64,
    /// The day's score, 0 to 1.
    pub score: f64,
    /// Names of broken rules, `-` for none.
    pub rules: String,
    /// The largest price and its name.
    pub price: (f64, String),
}

/// Why a journal entry or a line of a table can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DayFault {
    /// The entry names no site.
    #[error("the journal entry names no site file")]
    NoSite,
    /// The run did not end, so it has no days.
    #[error("the run did not finish")]
    Unfinished,
    /// A line of a table is not one that this program writes.
    #[error("not a line of a table of days: {0}")]
    Line(String),
}

/// The days of one journal entry.
///
/// # Errors
///
/// Returns a [`DayFault`] if the run did not finish.
///
/// ```
/// use berylmount_bench::days::days_of;
/// use serde_json::json;
///
/// let entry = json!({"argv": ["kit/site-a.toml"], "days": [{
///     "name": "quiet-1", "score": 0.9, "rules": {},
///     "parts": [["whole day", 1.0, 0.8]], "prices": [["loads", 3.0, 0.1]],
/// }]});
/// let days = days_of(&entry).unwrap();
/// assert_eq!(days[0].site, "site-a");
/// assert!((days[0].worth - 0.7).abs() < 1e-9);
/// ```
pub fn days_of(entry: &Value) -> Result<Vec<DayLine>, DayFault> {
    let argv = entry["argv"].as_array().ok_or(DayFault::NoSite)?;
    let files = argv.iter().filter_map(Value::as_str);
    let mut files = files.filter_map(|word| word.strip_suffix(".toml"));
    let site = files.next().ok_or(DayFault::NoSite)?;
    let site = site.rsplit('/').next().unwrap_or(site);
    let days = entry["days"].as_array().filter(|days| !days.is_empty());
    let days = days.ok_or(DayFault::Unfinished)?;
    Ok(days.iter().map(|day| day_line(site, day)).collect())
}

fn day_line(site: &str, day: &Value) -> DayLine {
    let triples = |name: &str| day[name].as_array().cloned().unwrap_or_default();
    let figure = |triple: &Value, index: usize| triple[index].as_f64().unwrap_or_default();
    let earned = triples("parts");
    let earned = earned.iter().map(|part| figure(part, 1) * figure(part, 2));
    let prices = triples("prices");
    let paid: f64 = prices.iter().map(|price| figure(price, 2)).sum();
    let dearest = prices
        .iter()
        .max_by(|a, b| figure(a, 2).total_cmp(&figure(b, 2)));
    let dearest = dearest.map(|price| {
        let name = price[0].as_str().unwrap_or_default();
        (figure(price, 2), name.replace('|', "/"))
    });
    let rules = day["rules"].as_object().into_iter().flatten();
    let rules: Vec<&str> = rules.map(|(name, _)| name.as_str()).collect();
    DayLine {
        site: site.to_owned(),
        day: day["name"].as_str().unwrap_or_default().to_owned(),
        worth: earned.sum::<f64>() - paid,
        score: day["score"].as_f64().unwrap_or_default(),
        rules: match rules.is_empty() {
            true => "-".to_owned(),
            false => rules.join(" "),
        },
        price: dearest.unwrap_or_default(),
    }
}

impl fmt::Display for DayLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (price, name) = &self.price;
        write!(
            f,
            "| {} | {} | {:.3} | {:.2} | {} | {price:.3} {name} |",
            self.site, self.day, self.worth, self.score, self.rules
        )
    }
}

impl FromStr for DayLine {
    type Err = DayFault;

    fn from_str(line: &str) -> Result<Self, DayFault> {
        let fault = || DayFault::Line(line.to_owned());
        let cells: Vec<&str> = line
            .trim()
            .trim_matches('|')
            .split('|')
            .map(str::trim)
            .collect();
        let [site, day, worth, score, rules, price] = cells[..] else {
            return Err(fault());
        };
        let (price, name) = price.split_once(' ').unwrap_or((price, ""));
        let number = |text: &str| text.parse::<f64>().map_err(|_| fault());
        Ok(Self {
            site: site.to_owned(),
            day: day.to_owned(),
            worth: number(worth)?,
            score: number(score)?,
            rules: rules.to_owned(),
            price: (number(price)?, name.to_owned()),
        })
    }
}

/// What changed from the days of `before`: newly broken rules, and worth that
/// moved beyond the noise. Days that one table lacks are left out.
///
/// ```
/// use berylmount_bench::days::{changes, DayLine};
///
/// let before: DayLine = "| a | quiet-1 | 0.600 | 1.00 | - | 0.1 loads |".parse().unwrap();
/// let now = DayLine { worth: 0.55, ..before.clone() };
/// assert_eq!(changes(&[before.clone()], &[now]), ["a quiet-1: worth 0.600 -> 0.550"]);
/// assert!(changes(&[before.clone()], &[before]).is_empty());
/// ```
pub fn changes(before: &[DayLine], now: &[DayLine]) -> Vec<String> {
    let mut found = Vec::new();
    for line in now {
        let title = format!("{} {}", line.site, line.day);
        let same = |old: &&DayLine| old.site == line.site && old.day == line.day;
        let old = before.iter().find(same);
        if line.rules != "-" && old.is_none_or(|old| old.rules != line.rules) {
            found.push(format!("{title}: broken rules {}", line.rules));
        }
        let moved = old.filter(|old| (old.worth - line.worth).abs() > WORTH_NOISE);
        if let Some(old) = moved {
            found.push(format!(
                "{title}: worth {:.3} -> {:.3}",
                old.worth, line.worth
            ));
        }
    }
    found
}
