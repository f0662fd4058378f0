//! Measures the marginal cost of a target, caller, request, token or change to each role.
//!
//! Each row measures at least four sizes, fits a line, and prints its slope, its value at size 0 and
//! the largest deviation of a measurement from the line. `docs/CAPACITY.md` extrapolates these
//! slopes to the planned size. Each role runs on a thread of its own and communicates over loopback,
//! so that the operating system accounts its CPU time separately.

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

/// Counts allocated bytes, so that memory is measured exactly instead of in pages.
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
