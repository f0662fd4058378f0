//! Measures what one more target, caller, request, token or change costs each role.
//!
//! Each row takes at least four sizes, fits a line through them, and prints its slope, its value at
//! size nought and the largest deviation of a measurement from the line. `docs/CAPACITY.md` works
//! the plan's size out from these slopes.

mod fit;
mod memory;
mod table;

use eyre::Result;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

/// Counts bytes in use, so that memory is measured exactly and not by pages.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> Result<()> {
    let mut rows = Vec::new();
    rows.extend(memory::rows());
    table::print(&rows);
    Ok(())
}
