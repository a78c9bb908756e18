//! Thin daemon.
fn main() {}
