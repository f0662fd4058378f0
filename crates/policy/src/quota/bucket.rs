//! The token bucket of a customer at its coordinator.
