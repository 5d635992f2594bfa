//! What is known of the past loses weight as it ages.

/// What is left of `value` after `age_ms`, if half is lost in each `half_life_ms`.
pub(crate) fn decayed(value: f64, age_ms: u64, half_life_ms: f64) -> f64 {
    value * 0.5f64.powf(age_ms as f64 / half_life_ms)
}
