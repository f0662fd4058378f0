//! A small deterministic model of a pool, which drives the decisions of this crate.
//!
//! It is no simulator of a cluster: engines are fluids with a rate for prompts and a rate for
//! output, links take no time but where said, and only what the decisions see is modelled. The
//! decisions themselves are the types that the daemons use. All arrivals and lengths come from one
//! seed, so each figure is the same in every run and every way of deciding meets the same arrivals.

pub mod compare;
pub mod disaggregated;
pub mod figures;
pub mod late_binding;
pub mod oracle;
pub mod pool;
pub mod scenario;
pub mod setup;
pub mod swing;
pub mod table;
pub mod work;

mod engine;
mod random;

pub use engine::EngineSetup;
pub use random::Random;
