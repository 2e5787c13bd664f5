//! Shared primitives.

pub mod arena;
pub mod hash;
