//! Exponential decay of past observations.

/// Returns `value` after `age_ms` of exponential decay with a half-life of
/// `half_life_ms`.
pub(crate) fn decayed(value: f64, age_ms: u64, half_life_ms: f64) -> f64 {
    value * 0.5f64.powf(age_ms as f64 / half_life_ms)
}
