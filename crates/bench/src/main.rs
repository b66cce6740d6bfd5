//! Load tool, experiments and demonstration.

fn main() {}
