//! What an entry sees of the world; tests put in another.

use conf::settings;
use plat::{Log, VmList};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;
use wire::Dialler;

/// What an entry sees of the world.
pub struct Context {
    /// The settings.
    pub settings: settings::Entry,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// How agents are reached.
    pub dialler: Arc<dyn Dialler>,
    /// Decides all random numbers of the entry; the same seed gives the same session. A real
    /// process takes a fresh one at each start, since request ids are drawn from it.
    pub seed: u64,
    /// Cancelled when the process is asked to stop gracefully.
    pub stop: CancellationToken,
}
