//! Decides whether a target may get new work.
//!
//! **Load pattern.** Targets leave every day, and that becomes known through three channels of
//! different speed: the configuration, the platform's lagging list of VMs, and the agent's own load
//! reports. **Without this**, an entry that uses one channel alone sends work to a target that is
//! about to stop, and the caller sees a broken response or an unnecessary refusal. **Approach.** A
//! target gets new work only if no channel shows that it leaves. A missing report takes no target
//! out of service, because the list of VMs lags and may be unavailable. Running requests are left
//! to finish.

use conf::resource::Phase;

/// State of a target's VM according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VmState {
    /// The platform's list does not contain the VM, or could not be read.
    #[default]
    Unknown,
    /// The VM is running.
    Live,
    /// The VM will be stopped.
    Leaving,
}

/// What an entry knows about whether a target stays in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifecycle {
    /// The phase that operators configured.
    pub phase: Phase,
    /// The state of its VM in the platform's list.
    pub vm: VmState,
    /// Whether the target accepts work, as last reported by its agent, if at all.
    pub accepting: Option<bool>,
}

/// Returns whether a target may get new work.
pub fn accepts_work(lifecycle: &Lifecycle) -> bool {
    let configured = match lifecycle.phase {
        Phase::Active => true,
        Phase::Joining | Phase::Leaving => false,
    };
    let stays = match lifecycle.vm {
        VmState::Unknown | VmState::Live => true,
        VmState::Leaving => false,
    };
    configured && stays && lifecycle.accepting.unwrap_or(true)
}
