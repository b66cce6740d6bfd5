//! The command line of wagtailreel.
