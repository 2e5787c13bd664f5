//! Code generation and the house-style check, as a library that its tests call.

pub mod generate;
pub mod style;
