//! load.
