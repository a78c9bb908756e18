//! The grantor's side of leases.
//!
//! A holder measures its lease from when it sent the request, the grantor from when it received
//! the request, which is later. A lease has therefore expired for its holder before it expires for
//! the grantor, however long the request was in transit.

mod table;

pub use table::{DRIFT_DIVISOR, LeaseTable, grantor_ttl};
