//! Types of the data that hooktrestle processes exchange with each other, with the platform and
//! with operators. They are generated from the JSON Schema files in `schema/` and hold no state;
//! [`range`] decides whether values are valid.
//!
//! The generated code is committed, so that a build needs no generator; `cargo xtask generate`
//! writes it again.
//!
//! - Links between processes: [`Frame`] and the types of its fields.
//! - The operators' table: [`ServiceRow`], [`AccountRow`], [`BackendServerRow`],
//!   [`DataCentreRow`]; an accepted set of them is a [`Snapshot`].
//! - The platform's services: [`Transaction`], [`TableRow`], [`Instance`].
//! - Settings of the daemon: [`Settings`].
//!
//! # Limits
//!
//! The generated types check the shape of values, not their ranges: [`range`] checks those.

#[rustfmt::skip]
#[allow(missing_docs, dead_code, clippy::all, clippy::pedantic, reason = "written by typify")]
mod generated;
pub mod range;

pub use generated::*;
