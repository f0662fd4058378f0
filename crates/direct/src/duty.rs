//! Tasks that one entry performs for all: it splits engines between prefill and decode and orders
//! them, bills usage, and asks engines what they have cached.

pub mod billing;
pub mod cache_inventory;
pub mod metering;
pub mod stage_planner;
