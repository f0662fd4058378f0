//! Small deterministic simulations that drive the decisions of this crate.
//!
//! They do not simulate a whole cluster: engines are modelled as fluids with a rate for prefill and
//! a rate for decode, links take no time unless stated, and only what the decisions observe is
//! modelled. The decisions themselves are the types that the daemons use. All arrivals and lengths
//! derive from one seed, so results are reproducible, and all setups get the same arrivals.

pub mod compare;
pub mod disaggregated;
pub mod late_binding;
pub mod oracle;
pub mod pool;
pub mod results;
pub mod scenario;
pub mod setup;
pub mod swing;
pub mod table;
pub mod workload;

mod engine;
mod random;

pub use engine::EngineSetup;
pub use random::Random;
