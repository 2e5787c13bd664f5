//! The rows that operators edit: their kinds, names and keys.
//! Input: the keys of rows in the store. No state.
//! Decides which keys name a row of the configuration.

use std::fmt;

/// Table that operators edit.
pub const ROWS: &str = "rows";

/// Table of the reasons why edited rows are not in force, with the same keys.
pub const ROW_ERRORS: &str = "row_errors";

/// Table with the head row of the configuration.
pub const CONFIG: &str = "config";

/// Key of the head row.
pub const HEAD: &str = "head";

/// Kind of a row.
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
    /// All kinds, such that each refers only to kinds before it.
    pub const ALL: [RowKind; 4] =
        [RowKind::DataCentre, RowKind::Service, RowKind::Account, RowKind::BackendServer];

    /// Name of the kind in keys and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            RowKind::Service => "service",
            RowKind::Account => "account",
            RowKind::BackendServer => "backend_server",
            RowKind::DataCentre => "data_centre",
        }
    }

    /// Name of the kind's definition in the schema.
    pub fn definition(self) -> &'static str {
        match self {
            RowKind::Service => "ServiceRow",
            RowKind::Account => "AccountRow",
            RowKind::BackendServer => "BackendServerRow",
            RowKind::DataCentre => "DataCentreRow",
        }
    }

    /// The kind with this name.
    pub fn parse(name: &str) -> Option<RowKind> {
        RowKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Kind and name of a row. Its key in the table is `kind:name`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowName {
    /// Kind of the row.
    pub kind: RowKind,
    /// Name within the kind.
    pub name: String,
}

impl RowName {
    /// The row with this kind and name.
    pub fn new(kind: RowKind, name: &str) -> RowName {
        RowName { kind, name: name.to_owned() }
    }

    /// The row with this key; `None` if the key does not have the form `kind:name`, or its name is
    /// invalid. Names consist of letters, digits, `-`, `_` and `.`, which need no escaping in a
    /// URL, a CSV cell or a metric's label.
    pub fn parse(key: &str) -> Option<RowName> {
        let (kind, name) = key.split_once(':')?;
        let kind = RowKind::parse(kind)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let is_valid = !name.is_empty() && name.len() <= 128 && name.bytes().all(is_allowed);
        is_valid.then(|| RowName::new(kind, name))
    }
}

impl fmt::Display for RowName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind.name(), self.name)
    }
}
