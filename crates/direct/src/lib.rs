//! An entry that sends requests straight to targets, where no agent stands beside them.
//!
//! A request goes forward through [`intake`], [`serve`], then [`plain`] or [`generate`], then
//! [`attempt`] and [`relay`]. What they share is behind [`shared::Shared`]. Whose a request is stands
//! in [`customers`]; what each customer used is counted in [`usage`] and reported by [`billing`]. The
//! [`border`] towards callers and targets, and [`follow::Decode`] for records, are implemented by a
//! deployment's adapter.

pub mod answer;
pub mod attempt;
pub mod billing;
pub mod border;
pub mod broadcast;
pub mod bulletin;
pub mod clock;
pub mod content;
pub mod coordination;
pub mod coordinator;
pub mod customers;
pub mod daemon;
pub mod datagram;
pub mod dispatch;
pub mod durations;
pub mod engine;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod generate;
pub mod gossip;
pub mod groups;
pub mod inquiry;
pub mod intake;
pub mod job;
pub mod journal;
pub mod loads;
pub mod measured;
pub mod metering;
pub mod metrics;
pub mod notice;
pub mod peers;
pub mod permits;
pub mod places;
pub mod plain;
pub mod pool;
pub mod post;
pub mod probe;
pub mod question;
pub mod recall;
pub mod relay;
pub mod reservation;
pub mod reserve;
pub mod route;
pub mod serve;
pub mod shared;
pub mod stages;
pub mod standings;
pub mod story;
pub mod suspects;
pub mod tail;
pub mod target;
pub mod trace;
pub mod tries;
pub mod unknown;
pub mod usage;
pub mod workload;
