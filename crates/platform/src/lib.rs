//! The outside systems behind one small trait and one adapter each.
