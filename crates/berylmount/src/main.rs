//! The berylmount binary.

fn main() {}
