//! admin.
