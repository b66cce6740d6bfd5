//! The entry process: callers' front, administration API, log follower.
