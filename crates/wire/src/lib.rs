//! The control protocol between processes as Cap'n Proto messages.
