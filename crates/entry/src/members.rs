//! Tracks leaving VMs by the platform's list, which lags behind.
//!
//! The list only takes targets out of service; whether a target is available shows much sooner on
//! its connection.

use conf::Name;
use plat::{VmList, VmPhase};
use std::collections::HashSet;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Read interval; a leaving target must get no new work after two seconds.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Names of leaving targets, including those whose agent's VM is leaving.
#[derive(Default)]
pub(crate) struct Members {
    leaving: RwLock<HashSet<Name>>,
}

impl Members {
    /// Returns whether the VM of a target, or of its agent, is leaving.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        let leaving = self.leaving.read().unwrap_or_else(PoisonError::into_inner);
        !leaving.is_empty() && leaving.contains(target)
    }

    /// Reads the list until the task is dropped; after a failed read the last list stays in force.
    pub(crate) async fn run(self: Arc<Self>, vms: Arc<dyn VmList>) {
        loop {
            match vms.list().await {
                Ok(list) => self.apply(&list),
                Err(error) => log::warn!(error:% = error; "vm-list-unread"),
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    fn apply(&self, list: &[plat::Vm]) {
        let leaving = list.iter().filter(|vm| match vm.phase {
            VmPhase::Leaving => true,
            VmPhase::Live => false,
        });
        // The list names processes, and an agent is named after its target.
        let names = leaving.map(|vm| vm.name.strip_prefix("agent-").unwrap_or(&vm.name).into());
        *self.leaving.write().unwrap_or_else(PoisonError::into_inner) = names.collect();
    }
}
