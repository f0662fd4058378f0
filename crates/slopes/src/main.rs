//! Measures what one more target, caller, request, token or change costs each role.
//!
//! Each row takes at least four sizes, fits a line through them, and prints its slope, its value at
//! size nought and the largest deviation of a measurement from the line. `docs/CAPACITY.md` works
//! the plan's size out from these slopes. Roles run on threads of their own over loopback, so that
//! the system counts each one's processor time.

mod fit;
mod fleet;
mod frames;
mod memory;
mod plan;
mod relay;
mod table;
mod thread;
mod traffic;

use eyre::Result;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

/// Counts bytes in use, so that memory is measured exactly and not by pages.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> Result<()> {
    let mut rows = memory::rows();
    rows.extend(frames::rows());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    rows.extend(runtime.block_on(traffic::rows())?);
    table::print(&rows);
    println!();
    plan::print(&rows)
}
