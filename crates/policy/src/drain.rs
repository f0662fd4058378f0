//! Whether a target may get new work.
//!
//! **Load pattern.** Targets leave every day, and the news comes by three roads of different
//! speed: the configuration, the platform's lagging list of VMs, and the agent's own word.
//! **Without it** an entry that goes by one road alone sends work to a target that is about to
//! stop, and the caller sees a cut or a needless refusal. **How.** A target gets new work only if
//! no road says that it leaves; the most pessimistic wins, and silence takes nobody out, because
//! the list of VMs lags and may be down. What runs is left to finish.

use conf::resource::Phase;

/// The platform's word about a target's VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VmState {
    /// Its list does not name the VM, or could not be read.
    #[default]
    Unknown,
    /// It lives.
    Live,
    /// It will be stopped.
    Leaving,
}

/// All that an entry has heard about whether a target stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifecycle {
    /// What operators configured.
    pub phase: Phase,
    /// What the platform's list says.
    pub vm: VmState,
    /// What the agent said last, if anything.
    pub accepting: Option<bool>,
}

/// Whether a target may get new work.
pub fn accepts_work(news: &Lifecycle) -> bool {
    let configured = match news.phase {
        Phase::Active => true,
        Phase::Joining | Phase::Leaving => false,
    };
    let stays = match news.vm {
        VmState::Unknown | VmState::Live => true,
        VmState::Leaving => false,
    };
    configured && stays && news.accepting.unwrap_or(true)
}
