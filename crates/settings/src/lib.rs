//! Checked settings of a berylmount process.
