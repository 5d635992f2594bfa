//! Pure decisions: routing, limits, retries, caching; time and randomness are passed in.
