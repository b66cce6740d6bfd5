//! Which chunk to fetch from whom: decisions of the weights' spread, without I/O.
