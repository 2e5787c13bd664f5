//! Measurements of hooktrestle.
