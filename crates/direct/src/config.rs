//! What the operator decides: routes, services and customers.

pub mod customers;
pub mod route;
