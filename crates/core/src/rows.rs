//! The operators' table: which kinds of row there are, and how they are named.

use std::fmt;

/// The one table that operators edit.
pub const ROWS: &str = "rows";

/// Table that holds, by the same keys, why edited rows are not in force.
pub const ROW_ERRORS: &str = "row_errors";

/// Table that holds the head row of the configuration.
pub const CONFIG: &str = "config";

/// Key of the head row.
pub const HEAD: &str = "head";

/// What a row describes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RowKind {
    /// A service.
    Service,
    /// A client account.
    Account,
    /// A backend server.
    BackendServer,
    /// A data centre.
    DataCentre,
}

impl RowKind {
    /// All kinds, in the order in which they refer to each other.
    pub const ALL: [RowKind; 4] =
        [RowKind::DataCentre, RowKind::Service, RowKind::Account, RowKind::BackendServer];

    /// Its name in keys and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            RowKind::Service => "service",
            RowKind::Account => "account",
            RowKind::BackendServer => "backend_server",
            RowKind::DataCentre => "data_centre",
        }
    }

    /// Its definition in the schema.
    pub fn definition(self) -> &'static str {
        match self {
            RowKind::Service => "ServiceRow",
            RowKind::Account => "AccountRow",
            RowKind::BackendServer => "BackendServerRow",
            RowKind::DataCentre => "DataCentreRow",
        }
    }

    /// The kind of this name.
    pub fn parse(name: &str) -> Option<RowKind> {
        RowKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Kind and name of a row; as a key in the table, `kind:name`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowName {
    /// What it describes.
    pub kind: RowKind,
    /// The name of that.
    pub name: String,
}

impl RowName {
    /// The row of this kind and name.
    pub fn new(kind: RowKind, name: &str) -> RowName {
        RowName { kind, name: name.to_owned() }
    }

    /// The row behind a key; `None` if the key is not one of ours, or its name is unfit: letters,
    /// digits, `-`, `_` and `.` fit into a URL, a CSV cell and a metric's label as they are.
    pub fn parse(key: &str) -> Option<RowName> {
        let (kind, name) = key.split_once(':')?;
        let kind = RowKind::parse(kind)?;
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let fit = !name.is_empty() && name.len() <= 128 && name.bytes().all(fits);
        fit.then(|| RowName::new(kind, name))
    }
}

impl fmt::Display for RowName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind.name(), self.name)
    }
}
