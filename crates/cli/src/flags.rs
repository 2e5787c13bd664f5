//! Command-line arguments of `hooktrestle`.
//!
//! `xflags` generates the parser and the help texts from the definition below.
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
            /// Only shows the difference.
            optional --dry-run
            /// Waits until the change is in force, with a line for each data centre.
            optional --wait
            required row: String
            /// FIELD=VALUE
            repeated fields: String
        }
        /// Drains a backend server (backend_server:NAME) or a data centre (data_centre:NAME).
        cmd drain {
            /// Waits until the drain is in force, with a line for each data centre.
            optional --wait
            required row: String
        }
        /// Ends a drain.
        cmd undrain {
            /// Waits until the change is in force, with a line for each data centre.
            optional --wait
            required row: String
        }
        /// Shows the version in force in each data centre, leaving instances, and rows left out.
        cmd status {
            /// Prints JSON.
            optional --json
        }
        /// Explains one request from log lines of gateways: each step, and the reason for its end.
        cmd explain {
            /// Prints JSON.
            optional --json
            required id: String
            /// Log files; standard input if there are none.
            repeated files: PathBuf
        }
        /// Prints all rows as CSV.
        cmd export {}
        /// Writes the rows of a CSV file in one transaction.
        cmd import {
            required file: PathBuf
        }
    }
}
