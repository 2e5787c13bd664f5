//! Reader of recorded token counts. Input: a CSV file with one row for each tick. It holds no
//! state. Checks that all rows have the same number of experts.
//!
//! The first column is the time of the tick in milliseconds; each further column is the number of
//! tokens of one expert in that tick.

use std::path::Path;

use eyre::Result;
use eyre::WrapErr;
use eyre::ensure;
use eyre::eyre;

/// Counts of one tick.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Time of the tick.
    pub at_ms: u64,
    /// Tokens of each expert.
    pub tokens: Vec<f64>,
}

/// Reads a file of counts; a first row that does not start with a number holds column names.
///
/// # Errors
///
/// The file cannot be read or has no counts, or a row is malformed; the error names file and line.
pub fn read(path: &Path) -> Result<Vec<Row>> {
    let name = path.display();
    let reader = csv::ReaderBuilder::new().has_headers(false).from_path(path);
    let mut reader = reader.wrap_err_with(|| format!("cannot read {name}"))?;
    let mut rows: Vec<Row> = Vec::new();
    for (index, record) in reader.records().enumerate() {
        let line = index + 1;
        let record = record.wrap_err_with(|| format!("{name}:{line}"))?;
        let is_header = index == 0
            && record.iter().next().is_none_or(|cell| cell.trim().parse::<f64>().is_err());
        if is_header {
            continue;
        }
        let row = row(&record).wrap_err_with(|| format!("{name}:{line}"))?;
        if let Some(first) = rows.first() {
            ensure!(
                row.tokens.len() == first.tokens.len(),
                "{name}:{line}: {} experts, but {} in the first row",
                row.tokens.len(),
                first.tokens.len()
            );
        }
        rows.push(row);
    }
    ensure!(!rows.is_empty(), "{name}: has no counts");
    Ok(rows)
}

fn row(record: &csv::StringRecord) -> Result<Row> {
    let mut cells = record.iter();
    let at = cells.next().unwrap_or_default();
    let at_ms = at.trim().parse().map_err(|_| eyre!("`{at}` is not a time in ms"))?;
    let tokens = cells.map(|cell| {
        let number =
            cell.trim().parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
        number.ok_or_else(|| eyre!("`{cell}` is not a number of tokens"))
    });
    let tokens = tokens.collect::<Result<Vec<f64>>>()?;
    ensure!(!tokens.is_empty(), "the row has no column of an expert");
    Ok(Row { at_ms, tokens })
}
