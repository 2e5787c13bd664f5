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
            /// Only shows the difference.
            optional --dry-run
            /// Waits until it is in force, with a line for each data centre.
            optional --wait
            required row: String
            /// FIELD=VALUE
            repeated fields: String
        }
        /// Takes a worker (backend_server:NAME) or a data centre (data_centre:NAME) out of use.
        cmd drain {
            /// Waits until it is in force, with a line for each data centre.
            optional --wait
            required row: String
        }
        /// Takes a drain back.
        cmd undrain {
            /// Waits until it is in force, with a line for each data centre.
            optional --wait
            required row: String
        }
        /// Shows the version in force in each data centre, who is leaving, and rows left out.
        cmd status {
            /// Prints JSON.
            optional --json
        }
        /// Tells the way of one request from log lines of gateways: each step, and why it ended so.
        cmd explain {
            /// Prints JSON.
            optional --json
            required id: String
            /// Log files; standard input where none is named.
            repeated files: PathBuf
        }
        /// Prints all rows as CSV.
        cmd export {}
        /// Writes the rows of a CSV file, all or none.
        cmd import {
            required file: PathBuf
        }
    }
}
