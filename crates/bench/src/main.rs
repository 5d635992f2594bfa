//! Load and decision benchmarks.

fn main() {}
