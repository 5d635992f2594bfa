//! The entry role: callers and operators.
