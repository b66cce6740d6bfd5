//! The agent process in an upstream VM's slot.

fn main() {}
