//! Membership of the system's own processes.
