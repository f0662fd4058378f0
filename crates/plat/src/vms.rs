//! The platform's list of live and leaving VMs, which lags.

use crate::Result;
use async_trait::async_trait;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPhase {
    /// It is up.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the process of ours that runs there.
    pub name: CompactString,
    /// The VM's address, without a port.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Whether it stays.
    pub phase: VmPhase,
}

/// The list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list as the platform last knew it.
    async fn list(&self) -> Result<Vec<Vm>>;
}
