//! Leases as their grantor counts them.
//!
//! A holder counts its lease from the moment it sent its request; the grantor counts from the
//! moment it received it, which is later. So when the grantor regards a lease as over, the
//! holder has regarded it as over for at least the time the request was on its way, whatever
//! that was.

mod table;

pub use table::{DRIFT_DIVISOR, LeaseTable, grantor_span};
