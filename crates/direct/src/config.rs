//! What operators configure: routes, services and customers.

pub mod customers;
pub mod route;
