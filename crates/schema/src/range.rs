//! Checks values against the names, types and ranges in the schema files.
//! Input: JSON objects, and texts from INI and CSV files. State: the parsed schema.
//! Decides whether a value is valid.
//!
//! Generated types accept any number of the right width. This module reads the schema itself, so
//! that an error names the field, its range with the unit, and the most similar known name.

use std::fmt;
use std::sync::OnceLock;

use serde_json::Map;
use serde_json::Value;

const SOURCES: [&str; 2] =
    [include_str!("../schema/rows.json"), include_str!("../schema/settings.json")];

/// Minimum similarity, from 0 to 1, of a misspelt name to a known one that is suggested.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.6;

/// One field of a definition, as the schema states it.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The field's name.
    pub name: String,
    /// Description of the field.
    pub description: String,
    /// Unit of its value.
    pub unit: String,
    /// JSON type: `integer`, `number`, `string` or `boolean`; `string` for an enum.
    pub kind: String,
    /// Smallest allowed value, of a number.
    pub minimum: Option<f64>,
    /// Largest allowed value, of a number.
    pub maximum: Option<f64>,
    /// Value of a field that is left out.
    pub default: Option<Value>,
    /// Whether the field must be present.
    pub required: bool,
    /// Allowed values of an enum; empty for other types.
    pub allowed_values: Vec<String>,
}

/// An invalid value and its field.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldError {
    field: String,
    message: String,
}

impl FieldError {
    /// Name of the field.
    pub fn field(&self) -> &str {
        &self.field
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl std::error::Error for FieldError {}

/// The fields of a definition, in the schema's order.
///
/// # Panics
///
/// If the schema has no such definition, which is an error in the calling code.
pub fn fields(definition: &str) -> Vec<Field> {
    let object = lookup(definition);
    let required = object["required"].as_array().cloned().unwrap_or_default();
    let properties = object["properties"].as_object().expect("a definition with properties");
    properties.iter().map(|(name, schema)| field(name, schema, &required)).collect()
}

/// Checks one object against a definition: known names, present fields, types and ranges.
///
/// # Errors
///
/// All faults, not only the first.
///
/// # Panics
///
/// As [`fields`].
pub fn check(definition: &str, object: &Map<String, Value>) -> Result<(), Vec<FieldError>> {
    let known = fields(definition);
    let mut faults = Vec::new();
    for (name, value) in object {
        match known.iter().find(|field| field.name == *name) {
            None => faults.push(unknown(name, &known)),
            Some(field) => faults.extend(check_value(field, value)),
        }
    }
    for field in known.iter().filter(|field| field.required) {
        if !object.contains_key(&field.name) {
            faults.push(fault(&field.name, format!("is missing; it {}", expected(field))));
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

/// Parses text from an INI or CSV file into a JSON value of the field's type.
///
/// # Errors
///
/// The text is not a value of the field's type.
pub fn parse(field: &Field, text: &str) -> Result<Value, FieldError> {
    let parsed = match field.kind.as_str() {
        "integer" => text.parse::<u64>().ok().map(Value::from),
        "number" => text.parse::<f64>().ok().map(Value::from),
        "boolean" => text.parse::<bool>().ok().map(Value::from),
        _ => Some(Value::from(text)),
    };
    parsed.ok_or_else(|| fault(&field.name, format!("`{text}` given; it {}", expected(field))))
}

/// The most similar known name, if its similarity is high enough for a suggestion.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

fn check_value(field: &Field, value: &Value) -> Option<FieldError> {
    let fits = match field.kind.as_str() {
        "integer" => value.as_u64().is_some_and(|number| in_range(field, number as f64)),
        "number" => value.as_f64().is_some_and(|number| in_range(field, number)),
        "boolean" => value.is_boolean(),
        _ => value.as_str().is_some_and(|text| is_allowed(field, text)),
    };
    if fits {
        return None;
    }
    Some(fault(&field.name, format!("{value} given; it {}", expected(field))))
}

fn in_range(field: &Field, number: f64) -> bool {
    field.minimum.is_none_or(|minimum| number >= minimum)
        && field.maximum.is_none_or(|maximum| number <= maximum)
}

fn is_allowed(field: &Field, text: &str) -> bool {
    field.allowed_values.is_empty() || field.allowed_values.iter().any(|allowed| allowed == text)
}

fn expected(field: &Field) -> String {
    if !field.allowed_values.is_empty() {
        return format!("must be one of {}", field.allowed_values.join(", "));
    }
    match (field.minimum, field.maximum) {
        (Some(minimum), Some(maximum)) => {
            format!("must be {} from {minimum} to {maximum} {}", article(field), field.unit)
        }
        _ => format!("must be {} ({})", article(field), field.unit),
    }
}

fn article(field: &Field) -> &'static str {
    match field.kind.as_str() {
        "integer" => "a whole number",
        "number" => "a number",
        "boolean" => "true or false",
        _ => "a text",
    }
}

fn unknown(name: &str, known: &[Field]) -> FieldError {
    let hint = match nearest(name, known.iter().map(|field| field.name.as_str())) {
        Some(candidate) => format!("; did you mean `{candidate}`?"),
        None => String::new(),
    };
    fault(name, format!("is not a known name{hint}"))
}

fn fault(field: &str, message: String) -> FieldError {
    FieldError { field: field.to_owned(), message }
}

fn field(name: &str, schema: &Value, required: &[Value]) -> Field {
    let target = match schema["$ref"].as_str() {
        Some(reference) => lookup(reference.rsplit('/').next().unwrap_or_default()),
        None => schema,
    };
    let allowed_values = target["enum"].as_array().cloned().unwrap_or_default();
    Field {
        name: name.to_owned(),
        description: target["description"].as_str().unwrap_or_default().to_owned(),
        unit: schema["x-unit"].as_str().unwrap_or("word").to_owned(),
        kind: target["type"].as_str().unwrap_or("string").to_owned(),
        minimum: schema["minimum"].as_f64(),
        maximum: schema["maximum"].as_f64(),
        default: schema.get("default").cloned(),
        required: required.iter().any(|entry| entry == name),
        allowed_values: allowed_values
            .iter()
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect(),
    }
}

fn lookup(definition: &str) -> &'static Value {
    static PARSED: OnceLock<Vec<Value>> = OnceLock::new();
    let files = PARSED.get_or_init(|| {
        SOURCES.iter().map(|text| serde_json::from_str(text).expect("a valid schema")).collect()
    });
    files
        .iter()
        .find_map(|file| file["definitions"].get(definition))
        .unwrap_or_else(|| panic!("no definition {definition} in the schema"))
}
