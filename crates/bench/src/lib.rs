//! Load tool, experiments and demonstration; not shipped.
