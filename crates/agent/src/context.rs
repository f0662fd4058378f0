//! What an agent sees of the world; tests put in another.

use conf::settings;
use plat::Log;
use std::sync::Arc;
use target::{Engine, Service};
use tokio_util::sync::CancellationToken;

/// The target that the agent stands beside.
#[derive(Clone)]
pub enum Backend {
    /// A language-model engine.
    Engine(Arc<dyn Engine>),
    /// An instance of a plain service.
    Service(Arc<dyn Service>),
}

/// What an agent sees of the world.
pub struct Context {
    /// The settings.
    pub settings: settings::Agent,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The target.
    pub backend: Backend,
    /// Where entries connect.
    pub listener: Box<dyn wire::Listener>,
    /// How other agents are reached.
    pub dialler: Arc<dyn wire::Dialler>,
    /// Cancelled when the process is asked to stop gracefully.
    pub stop: CancellationToken,
}
