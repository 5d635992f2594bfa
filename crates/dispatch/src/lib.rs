//! The dispatch role: targets.
