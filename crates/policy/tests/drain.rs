//! Whether a target may get new work.

use conf::resource::Phase;
use policy::drain::{News, Vm, takes_work};

const STAYS: News = News { phase: Phase::Active, vm: Vm::Live, accepting: Some(true) };

// The news that a target leaves comes by three roads, each of which may lag. Whichever comes first
// has to count.
#[test]
fn a_target_that_leaves_by_any_word_gets_no_new_work() {
    assert!(takes_work(&STAYS));
    assert!(!takes_work(&News { phase: Phase::Leaving, ..STAYS }));
    assert!(!takes_work(&News { phase: Phase::Joining, ..STAYS }));
    assert!(!takes_work(&News { vm: Vm::Leaving, ..STAYS }));
    assert!(!takes_work(&News { accepting: Some(false), ..STAYS }));
}

// The platform's list is down. That takes no target out of service.
#[test]
fn silence_takes_nobody_out() {
    assert!(takes_work(&News { vm: Vm::Unknown, accepting: None, ..STAYS }));
}
