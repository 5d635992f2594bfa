//! Clients of model engines, kept-cache stores and plain services.
