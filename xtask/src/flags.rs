//! Command-line arguments of `cargo xtask`.
//!
//! `xflags` generates the parser and the help texts from the definition below.
#![allow(missing_docs)]

xflags::xflags! {
    /// Code generation and the house-style check.
    cmd xtask {
        /// Generates the Rust types of the schema.
        cmd generate {}
        /// Checks the house style, and that the generated code is up to date.
        cmd check {}
    }
}
