//! Tasks that one entry performs for all: it decides which engines prefill and which decode and
//! sends them orders, bills usage, and fetches from engines what they have cached.

pub mod billing;
pub mod cache_inventory;
pub mod metering;
pub mod stage_planner;
