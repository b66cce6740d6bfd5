//! The operators' and authors' tool, and the entry process.

fn main() {}
