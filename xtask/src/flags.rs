//! Arguments of `cargo xtask`.
#![allow(missing_docs)]

xflags::xflags! {
    /// Code generation and the house-style check.
    cmd xtask {
        /// Writes the Rust code that the schema describes.
        cmd generate {}
        /// Checks the house style and that generated code is up to date.
        cmd check {}
    }
}
