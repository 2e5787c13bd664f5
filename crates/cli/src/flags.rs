//! Arguments of `hooktrestle`.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Operates hooktrestle: edits rows of its table, and shows what is in force.
    cmd hooktrestle {
        /// Base URL of the platform's services (default: http://127.0.0.1:7400).
        optional --platform url: String

        /// Prints one row, as KIND:NAME.
        cmd get {
            required row: String
        }
        /// Changes fields of one row, which need not exist yet.
        cmd set {
            required row: String
            /// FIELD=VALUE
            repeated fields: String
        }
        /// Prints all rows as CSV.
        cmd export {}
        /// Writes the rows of a CSV file, all or none.
        cmd import {
            required file: PathBuf
        }
    }
}
