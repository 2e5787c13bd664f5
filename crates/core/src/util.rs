//! Shared primitives: arenas and hashing.

pub mod arena;
pub mod hash;
