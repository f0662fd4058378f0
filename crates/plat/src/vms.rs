//! The platform's list of live and leaving VMs, which may be out of date.

use crate::Result;
use async_trait::async_trait;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a VM is live or about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPhase {
    /// The VM is up.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of this system's process on the VM.
    pub name: CompactString,
    /// The VM's address, without a port.
    pub address: CompactString,
    /// The failure domain.
    pub domain: CompactString,
    /// The phase.
    pub phase: VmPhase,
}

/// The list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list, which may be out of date.
    async fn list(&self) -> Result<Vec<Vm>>;
}
