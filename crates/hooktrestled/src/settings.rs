//! Reads the daemon's settings. The input is an INI file; there is no state. The file is checked
//! against the schema, and each fault is reported with its line and the allowed range.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hooktrestle_link::auth::Keys;
use hooktrestle_schema::Settings;
use hooktrestle_schema::range;
use hooktrestle_schema::range::Field;
use ini::Ini;
use serde_json::Map;
use serde_json::Value;

/// The faults in a settings file, one line each.
#[derive(Debug)]
pub struct SettingsError {
    file: String,
    faults: Vec<Fault>,
}

#[derive(Debug)]
struct Fault {
    line: Option<usize>,
    message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let end = if index + 1 < self.faults.len() { "\n" } else { "" };
            match fault.line {
                Some(line) => write!(f, "{}:{line}: {}{end}", self.file, fault.message)?,
                None => write!(f, "{}: {}{end}", self.file, fault.message)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file.
///
/// # Errors
///
/// All faults in the file, with their lines and the allowed values.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            let message = format!("cannot be read: {error}");
            Err(SettingsError { file, faults: vec![Fault { line: None, message }] })
        }
    }
}

/// Checks the text of a settings file; `file` names it in errors.
///
/// # Errors
///
/// As [`load`].
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let mut faults = Vec::new();
    let object = read(text, &mut faults);
    if faults.is_empty() {
        faults.extend(missing_sections(&object));
    }
    let settings = if faults.is_empty() { Some(typed(object, &mut faults)) } else { None };
    match settings.flatten() {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError { file: file.to_owned(), faults }),
    }
}

/// A setting in milliseconds as a duration.
pub(crate) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The client configuration for the platform.
pub(crate) fn platform(settings: &Settings) -> hooktrestle_platform::Config {
    let platform = &settings.platform;
    hooktrestle_platform::Config {
        table_url: platform.table_url.clone(),
        object_url: platform.object_url.clone(),
        instances_url: platform.instances_url.clone(),
        timeout: millis(platform.timeout_ms),
    }
}

/// The configuration of links.
///
/// # Panics
///
/// If the settings did not come through [`parse`], which checks the keys.
pub(crate) fn links(settings: &Settings) -> hooktrestle_link::Config {
    hooktrestle_link::Config {
        keys: Keys::parse(&settings.links.keys).expect("checked when parsed"),
        max_message_bytes: usize::try_from(settings.links.frame_limit_bytes).unwrap_or(usize::MAX),
        silence_timeout: millis(settings.links.silence_ms),
    }
}

fn read(text: &str, faults: &mut Vec<Fault>) -> Map<String, Value> {
    let mut object = Map::new();
    let ini = match Ini::load_from_str(text) {
        Ok(ini) => ini,
        Err(error) => {
            let message = error.msg.to_string();
            faults.push(Fault { line: Some(error.line), message });
            return object;
        }
    };
    let sections = range::fields("Settings");
    for (name, properties) in &ini {
        let Some(name) = name else {
            if let Some((key, _)) = properties.iter().next() {
                let line = line_of(text, None, key);
                faults
                    .push(Fault { line, message: format!("`{key}` is before the first section") });
            }
            continue;
        };
        if !sections.iter().any(|section| section.name == name) {
            faults.push(unknown_section(text, name, &sections));
            continue;
        }
        let section = read_section(text, name, properties, faults);
        object.insert(name.to_owned(), Value::Object(section));
    }
    object
}

fn read_section(
    text: &str,
    name: &str,
    properties: &ini::Properties,
    faults: &mut Vec<Fault>,
) -> Map<String, Value> {
    let definition = definition(name);
    let known = range::fields(&definition);
    let mut section = Map::new();
    for (key, value) in properties.iter() {
        let parsed = match known.iter().find(|field| field.name == key) {
            Some(field) => range::parse(field, value).map_err(|error| error.to_string()),
            // Kept as text: the check below reports the unknown name.
            None => Ok(Value::from(value)),
        };
        match parsed {
            Ok(value) => drop(section.insert(key.to_owned(), value)),
            Err(message) => {
                let message = format!("[{name}] {message}");
                faults.push(Fault { line: line_of(text, Some(name), key), message });
            }
        }
    }
    if let Err(errors) = range::check(&definition, &section) {
        let reported: Vec<String> = faults.iter().map(|fault| fault.message.clone()).collect();
        for error in errors {
            let line = line_of(text, Some(name), error.field());
            let message = format!("[{name}] {error}");
            let duplicate = reported
                .iter()
                .any(|reported| reported.starts_with(&format!("[{name}] {}:", error.field())));
            if !duplicate {
                faults.push(Fault { line, message });
            }
        }
    }
    section
}

fn typed(object: Map<String, Value>, faults: &mut Vec<Fault>) -> Option<Settings> {
    let settings: Settings = match serde_json::from_value(Value::Object(object)) {
        Ok(settings) => settings,
        Err(error) => {
            faults.push(Fault { line: None, message: error.to_string() });
            return None;
        }
    };
    for (key, text) in
        [("listen", &settings.instance.listen), ("admin_listen", &settings.instance.admin_listen)]
    {
        if text.parse::<SocketAddr>().is_err() {
            let message = format!("[instance] {key}: `{text}` given; it must be IP:PORT");
            faults.push(Fault { line: None, message });
        }
    }
    if Keys::parse(&settings.links.keys).is_none() {
        let message = "[links] keys: must hold at least one key".to_owned();
        faults.push(Fault { line: None, message });
    }
    let sidecar = settings.instance.role == hooktrestle_schema::DaemonRole::Sidecar;
    if sidecar && settings.sidecar.is_none() {
        let message = "[sidecar] is missing; role = sidecar needs it".to_owned();
        faults.push(Fault { line: None, message });
    }
    Some(settings)
}

fn missing_sections(object: &Map<String, Value>) -> Vec<Fault> {
    let sections = range::fields("Settings");
    let missing =
        sections.iter().filter(|field| field.required && !object.contains_key(&field.name));
    missing
        .map(|field| Fault { line: None, message: format!("section [{}] is missing", field.name) })
        .collect()
}

fn unknown_section(text: &str, name: &str, sections: &[Field]) -> Fault {
    let hint = match range::nearest(name, sections.iter().map(|field| field.name.as_str())) {
        Some(candidate) => format!("; did you mean [{candidate}]?"),
        None => String::new(),
    };
    let line = text.lines().position(|line| line.trim() == format!("[{name}]"));
    let message = format!("[{name}] is not a known section{hint}");
    Fault { line: line.map(|index| index + 1), message }
}

/// Name of a section's definition in the schema: `links` is `LinkSettings`.
fn definition(section: &str) -> String {
    let singular = section.strip_suffix('s').unwrap_or(section);
    let mut letters = singular.chars();
    let first = letters.next().map(|letter| letter.to_ascii_uppercase());
    format!("{}{}Settings", first.unwrap_or_default(), letters.as_str())
}

/// Line of a key, counted from 1. The INI library does not record it.
fn line_of(text: &str, section: Option<&str>, key: &str) -> Option<usize> {
    let mut current = None;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            current = Some(name.trim());
        }
        let line_key = line.split_once(['=', ':']).map(|(line_key, _)| line_key.trim());
        if current == section && line_key == Some(key) {
            return Some(index + 1);
        }
    }
    None
}
