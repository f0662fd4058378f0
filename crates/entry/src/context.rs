//! What an entry sees of the world; tests put in another.

use conf::settings;
use plat::Log;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;
use wire::Dialler;

/// What an entry sees of the world.
pub struct Context {
    /// The settings.
    pub settings: settings::Entry,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// How agents are reached.
    pub dialler: Arc<dyn Dialler>,
    /// Cancelled when the process is asked to stop gracefully.
    pub stop: CancellationToken,
}
