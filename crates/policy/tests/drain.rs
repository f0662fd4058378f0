//! Whether a target may get new work.

use conf::resource::Phase;
use policy::drain::{Lifecycle, VmState, accepts_work};

const STAYS: Lifecycle =
    Lifecycle { phase: Phase::Active, vm: VmState::Live, accepting: Some(true) };

// The news that a target leaves comes by three roads, each of which may lag. Whichever comes first
// has to count.
#[test]
fn a_target_that_leaves_by_any_word_gets_no_new_work() {
    assert!(accepts_work(&STAYS));
    assert!(!accepts_work(&Lifecycle { phase: Phase::Leaving, ..STAYS }));
    assert!(!accepts_work(&Lifecycle { phase: Phase::Joining, ..STAYS }));
    assert!(!accepts_work(&Lifecycle { vm: VmState::Leaving, ..STAYS }));
    assert!(!accepts_work(&Lifecycle { accepting: Some(false), ..STAYS }));
}

// The platform's list is down. That takes no target out of service.
#[test]
fn silence_takes_nobody_out() {
    assert!(accepts_work(&Lifecycle { vm: VmState::Unknown, accepting: None, ..STAYS }));
}
