//! Which targets may get new work.

use conf::resource::Phase;
use policy::drain::{Lifecycle, VmState, accepts_work};

const IN_SERVICE: Lifecycle =
    Lifecycle { phase: Phase::Active, vm: VmState::Live, accepting: Some(true) };

// That a target leaves becomes known through three channels, each of which may lag. Any of them has
// to suffice.
#[test]
fn leaving_by_any_channel_stops_new_work() {
    assert!(accepts_work(&IN_SERVICE));
    assert!(!accepts_work(&Lifecycle { phase: Phase::Leaving, ..IN_SERVICE }));
    assert!(!accepts_work(&Lifecycle { phase: Phase::Joining, ..IN_SERVICE }));
    assert!(!accepts_work(&Lifecycle { vm: VmState::Leaving, ..IN_SERVICE }));
    assert!(!accepts_work(&Lifecycle { accepting: Some(false), ..IN_SERVICE }));
}

// The platform's list is unavailable. That must take no target out of service.
#[test]
fn missing_reports_take_no_target_out_of_service() {
    assert!(accepts_work(&Lifecycle { vm: VmState::Unknown, accepting: None, ..IN_SERVICE }));
}
