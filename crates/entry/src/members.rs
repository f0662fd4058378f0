//! Which VMs leave, by the platform's list, which lags.
//!
//! The list only takes targets out: whether one is alive is seen on its connection, far sooner.

use conf::Name;
use plat::{VmList, VmPhase};
use std::collections::HashSet;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// How often the list is read: a leaving target is to get no new work within two seconds.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The names of agents' targets and processes that leave.
#[derive(Default)]
pub(crate) struct Members {
    leaving: RwLock<HashSet<Name>>,
}

impl Members {
    /// Whether the VM of a target, or of its agent, leaves.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        let leaving = self.leaving.read().unwrap_or_else(PoisonError::into_inner);
        !leaving.is_empty() && leaving.contains(target)
    }

    /// Reads the list until the task is dropped; an outage keeps what was last read.
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
        // The list names processes; an agent is named after its target.
        let names = leaving.map(|vm| vm.name.strip_prefix("agent-").unwrap_or(&vm.name).into());
        *self.leaving.write().unwrap_or_else(PoisonError::into_inner) = names.collect();
    }
}
