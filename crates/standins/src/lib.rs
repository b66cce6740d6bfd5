//! Stand-ins for the outside systems, with faults that can be switched; not shipped.
