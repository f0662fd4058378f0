//! A list of VMs in memory.

use async_trait::async_trait;
use plat::{Result, Vm, VmList};
use std::sync::{Arc, Mutex, PoisonError};

/// A list of VMs; clones share it.
#[derive(Clone, Default)]
pub struct MemoryVms {
    vms: Arc<Mutex<Vec<Vm>>>,
}

impl MemoryVms {
    /// Replaces the list.
    pub fn set(&self, vms: Vec<Vm>) {
        *self.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms;
    }
}

#[async_trait]
impl VmList for MemoryVms {
    async fn list(&self) -> Result<Vec<Vm>> {
        Ok(self.vms.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}
