//! What one entry does for all: engines are split and ordered, usage is billed, engines are asked what they keep.

pub mod billing;
pub mod cache_inventory;
pub mod metering;
pub mod stage_planner;
