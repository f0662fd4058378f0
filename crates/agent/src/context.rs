//! The external dependencies of an agent, which tests replace.

use conf::settings;
use plat::Log;
use std::sync::Arc;
use target::{Engine, Service};
use tokio_util::sync::CancellationToken;

/// The target that the agent serves.
#[derive(Clone)]
pub enum Backend {
    /// A language-model engine.
    Engine(Arc<dyn Engine>),
    /// An instance of a plain service.
    Service(Arc<dyn Service>),
}

/// The external dependencies of an agent.
pub struct Context {
    /// The settings.
    pub settings: settings::Agent,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The target.
    pub backend: Backend,
    /// Accepts connections of entries and other agents.
    pub listener: Box<dyn wire::Listener>,
    /// Opens connections to other agents.
    pub dialler: Arc<dyn wire::Dialler>,
    /// Cancelled when the process is asked to stop gracefully.
    pub stop: CancellationToken,
}
