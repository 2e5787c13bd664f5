//! Code generation and the house-style check, as a library for `cargo xtask` and its tests.

pub mod generate;
pub mod style;
