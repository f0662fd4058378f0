//! Resources that operators publish and the settings of each process, both validated YAML.
//!
//! - [`resource`]: the kinds of desired-state resources and the rules they must meet.
//! - [`settings`]: what a process needs at its start: addresses, failure domain, keys.
//! - [`check`]: parsing, with the line, the field's path and the nearest valid name in errors.

pub mod check;
mod document;
mod error;
pub mod resource;
pub mod settings;

pub use error::{Error, Result};
pub use resource::{Kind, Resource, Spec};

/// Name of a resource, unique within its kind.
pub type Name = compact_str::CompactString;

/// The number of accepted changes of one resource, from 1.
pub type Generation = u64;
