//! The dependencies of an entry, which tests replace.

use conf::settings;
use plat::{Log, VmList};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;
use wire::Dialler;

/// The dependencies of an entry.
pub struct Context {
    /// The settings.
    pub settings: settings::Entry,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// Connects to agents.
    pub dialler: Arc<dyn Dialler>,
    /// Seed of all random numbers of the entry; the same seed reproduces a session. A real process
    /// uses a new one at each start, since request ids are derived from it.
    pub seed: u64,
    /// Cancelled to request a graceful stop.
    pub stop: CancellationToken,
}
