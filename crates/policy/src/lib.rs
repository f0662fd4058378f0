//! policy.
