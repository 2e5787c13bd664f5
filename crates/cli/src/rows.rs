//! The commands that read and write rows of the platform's table.
//!
//! Their input is row names, fields and CSV files; they hold no state. They check each row against
//! the schema and write only if the rows are at the versions that were read.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use hooktrestle_core::rows::ROWS;
use hooktrestle_core::rows::RowKind;
use hooktrestle_core::rows::RowName;
use hooktrestle_platform::Platform;
use hooktrestle_schema::RowCheck;
use hooktrestle_schema::RowWrite;
use hooktrestle_schema::range;
use serde_json::Map;
use serde_json::Value;

use crate::status;

/// CSV column of the row names.
const KEY_COLUMN: &str = "row";

/// Options of a change to a row.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EditOptions {
    /// Only shows the difference.
    pub(crate) dry_run: bool,
    /// Waits until the change is in force.
    pub(crate) wait: bool,
}

/// Prints a row.
pub(crate) async fn get(platform: &Platform, key: &str) -> Result<ExitCode> {
    let name = parse_name(key)?;
    let row = platform.row(ROWS, &name.to_string()).await?;
    let row = row.ok_or_else(|| eyre!("there is no row {name}"))?;
    println!("{}", serde_json::to_string_pretty(&row.value)?);
    Ok(ExitCode::SUCCESS)
}

/// Changes fields of a row. The write is conditional on the row's version as read, so that
/// concurrent edits of two operators do not overwrite each other.
pub(crate) async fn set(
    platform: &Platform,
    key: &str,
    fields: &[String],
    options: EditOptions,
) -> Result<ExitCode> {
    let name = parse_name(key)?;
    let old = platform.row(ROWS, &name.to_string()).await?;
    let version = old.as_ref().map_or(0, |row| row.version);
    let mut object = match old.map(|row| row.value) {
        Some(Value::Object(object)) => object,
        _ => Map::new(),
    };
    for field in fields {
        let (field, value) = parse_field(name.kind, field)?;
        let before = object.get(&field).map_or("(default)".to_owned(), Value::to_string);
        println!("{name}: {field}: {before} -> {value}");
        object.insert(field, value);
    }
    check(&name, &object)?;
    if options.dry_run {
        println!("nothing written");
        return Ok(ExitCode::SUCCESS);
    }
    let revision = write(platform, vec![(name.clone(), version, Value::Object(object))]).await?;
    if options.wait { status::wait(platform, &name, revision).await } else { Ok(ExitCode::SUCCESS) }
}

/// Prints all rows as CSV, with a column for each field of any row kind.
pub(crate) async fn export(platform: &Platform) -> Result<ExitCode> {
    let mut columns: Vec<String> = vec![KEY_COLUMN.to_owned()];
    for kind in RowKind::ALL {
        for field in range::fields(kind.definition()) {
            if !columns.contains(&field.name) {
                columns.push(field.name);
            }
        }
    }
    let mut csv = csv::Writer::from_writer(std::io::stdout());
    csv.write_record(&columns)?;
    for row in platform.rows(ROWS, 0).await?.rows {
        if let Value::Object(object) = &row.value {
            let cells = columns.iter().map(|column| cell(&row.key, object, column));
            csv.write_record(cells)?;
        }
    }
    csv.flush()?;
    Ok(ExitCode::SUCCESS)
}

/// Writes all rows of a CSV file in one transaction.
pub(crate) async fn import(platform: &Platform, file: &Path) -> Result<ExitCode> {
    let rows = read_csv(file)?;
    let old: BTreeMap<String, u64> = platform
        .rows(ROWS, 0)
        .await?
        .rows
        .into_iter()
        .filter(|row| !row.value.is_null())
        .map(|row| (row.key, row.version))
        .collect();
    let edits = rows.into_iter().map(|(name, object)| {
        let version = old.get(&name.to_string()).copied().unwrap_or(0);
        (name, version, Value::Object(object))
    });
    write(platform, edits.collect()).await?;
    Ok(ExitCode::SUCCESS)
}

/// Writes rows in one transaction; returns the table's revision, or 0 if it is not known.
async fn write(platform: &Platform, edits: Vec<(RowName, u64, Value)>) -> Result<u64> {
    let count = edits.len();
    let mut checks = Vec::new();
    let mut writes = Vec::new();
    for (name, version, value) in edits {
        let (table, key) = (ROWS.to_owned(), name.to_string());
        checks.push(RowCheck { table: table.clone(), key: key.clone(), version });
        writes.push(RowWrite { table, key, value });
    }
    let committed = platform.transact(checks, writes).await?;
    println!("{count} rows written; they are in force once accepted");
    Ok(committed.revision)
}

fn read_csv(file: &Path) -> Result<Vec<(RowName, Map<String, Value>)>> {
    let mut reader =
        csv::Reader::from_path(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    let columns = reader.headers()?.clone();
    let mut rows = Vec::new();
    for (index, record) in reader.records().enumerate() {
        let line = index + 2;
        let row = read_record(&columns, &record?);
        rows.push(row.wrap_err_with(|| format!("{}:{line}", file.display()))?);
    }
    Ok(rows)
}

fn read_record(
    columns: &csv::StringRecord,
    record: &csv::StringRecord,
) -> Result<(RowName, Map<String, Value>)> {
    let cells: BTreeMap<&str, &str> = columns.iter().zip(record.iter()).collect();
    let key = cells.get(KEY_COLUMN).ok_or_else(|| eyre!("there is no column `{KEY_COLUMN}`"))?;
    let name = parse_name(key)?;
    let mut object = Map::new();
    for (column, text) in cells {
        if column != KEY_COLUMN && !text.is_empty() {
            let (field, value) = parse_field(name.kind, &format!("{column}={text}"))?;
            object.insert(field, value);
        }
    }
    check(&name, &object)?;
    Ok((name, object))
}

fn cell(key: &str, object: &Map<String, Value>, column: &str) -> String {
    if column == KEY_COLUMN {
        return key.to_owned();
    }
    match object.get(column) {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

fn parse_name(key: &str) -> Result<RowName> {
    RowName::parse(key).ok_or_else(|| {
        let kinds = RowKind::ALL.map(RowKind::name).join(", ");
        eyre!("`{key}` is not a row name: use KIND:NAME, with a kind of {kinds}")
    })
}

fn parse_field(kind: RowKind, text: &str) -> Result<(String, Value)> {
    let Some((name, value)) = text.split_once('=') else {
        bail!("`{text}` is not of the form FIELD=VALUE");
    };
    let known = range::fields(kind.definition());
    let Some(field) = known.iter().find(|field| field.name == name) else {
        let names = known.iter().map(|field| field.name.as_str());
        let hint = range::nearest(name, names)
            .map(|near| format!("; did you mean `{near}`?"))
            .unwrap_or_default();
        bail!("a {} has no field `{name}`{hint}", kind.name());
    };
    Ok((name.to_owned(), range::parse(field, value)?))
}

fn check(name: &RowName, object: &Map<String, Value>) -> Result<()> {
    let Err(errors) = range::check(name.kind.definition(), object) else { return Ok(()) };
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    bail!("{name}: {}", messages.join("; "))
}
