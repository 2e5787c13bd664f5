//! Everything that two hooktrestle processes, or a process and its operators, have to agree on.
//!
//! The types are generated from the JSON Schema files in `schema/` and committed, so that a
//! build needs no generator; `cargo xtask generate` writes them anew.
//!
//! - Links between processes: [`Frame`] and what it holds.
//! - The operators' table: [`ServiceRow`], [`AccountRow`], [`BackendServerRow`],
//!   [`DataCentreRow`]; an accepted set of them is a [`Snapshot`].
//! - The platform's services: [`Transaction`], [`TableRow`], [`Instance`].
//! - Settings of the daemon: [`Settings`].
//!
//! # Limits
//!
//! The generated types hold shapes, not ranges: [`range`] checks those against the schema.

#[rustfmt::skip]
#[allow(missing_docs, dead_code, clippy::all, clippy::pedantic, reason = "written by typify")]
mod generated;
pub mod range;

pub use generated::*;
