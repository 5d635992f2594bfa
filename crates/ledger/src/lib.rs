//! Exactly-once records of work orders and certifications.
