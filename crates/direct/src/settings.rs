//! Settings of a gateway or sidecar: an INI file that is checked against the schema.
//! Input is the path or the text of the file; no state is kept.
//! This module decides whether the settings are valid, and lists each fault with its remedy.
//!
//! Unknown sections and keys are ignored: the platform's template may be newer than the program.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use hooktrestle_schema::DirectSettings;
use hooktrestle_schema::SidecarRoleSettings;
use hooktrestle_schema::range;
use ini::Ini;
use serde_json::Map;
use serde_json::Value;

/// Faults of a settings file with their remedies, one per line.
#[derive(Debug)]
pub struct SettingsError {
    file: String,
    faults: Faults,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let end = if index + 1 < self.faults.len() { "\n" } else { "" };
            write!(f, "{}: {fault}{end}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Faults of a file, one line each.
type Faults = Vec<String>;

/// Values by section, or by field.
type Values = Map<String, Value>;

/// Sections and their definitions in the schema.
const SECTIONS: [(&str, &str); 4] = [
    ("instance", "DirectInstanceSettings"),
    ("listen", "DirectListenSettings"),
    ("platform", "DirectPlatformSettings"),
    ("repeats", "DirectRepeatSettings"),
];

/// Sections of a sidecar's settings and their definitions in the schema.
const SIDECAR_SECTIONS: [(&str, &str); 1] = [("sidecar", "SidecarRoleSettings")];

/// Reads and checks a settings file.
///
/// # Errors
///
/// Every fault in the file, with the values that are allowed.
pub fn load(path: &Path) -> Result<DirectSettings, SettingsError> {
    let (file, text) = read(path)?;
    parse(&file, &text)
}

/// Checks the text of a settings file; `file` is its name in errors.
///
/// # Errors
///
/// As [`load`].
pub fn parse(file: &str, text: &str) -> Result<DirectSettings, SettingsError> {
    let failed = |faults| SettingsError { file: file.to_owned(), faults };
    let (values, faults) = read_sections(text, &SECTIONS).map_err(failed)?;
    if !faults.is_empty() {
        return Err(failed(faults));
    }
    let settings: DirectSettings = serde_json::from_value(Value::Object(values))
        .map_err(|error| failed(vec![error.to_string()]))?;
    let faults = address_faults(&settings);
    if faults.is_empty() { Ok(settings) } else { Err(failed(faults)) }
}

/// Reads and checks the settings file of a sidecar.
///
/// # Errors
///
/// As [`load`].
pub fn load_sidecar(path: &Path) -> Result<SidecarRoleSettings, SettingsError> {
    let (file, text) = read(path)?;
    let failed = |faults| SettingsError { file: file.clone(), faults };
    let (mut values, mut faults) = read_sections(&text, &SIDECAR_SECTIONS).map_err(failed)?;
    // A missing section is one of the faults.
    let values = values.remove("sidecar").unwrap_or_default();
    faults.extend(sidecar_address_faults(&values));
    if !faults.is_empty() {
        return Err(failed(faults));
    }
    serde_json::from_value(values).map_err(|error| failed(vec![error.to_string()]))
}

/// The addresses in a comma-separated list; entries that are no addresses are ignored.
pub fn addresses(list: &str) -> Vec<SocketAddr> {
    list.split(',').filter_map(|text| text.trim().parse().ok()).collect()
}

/// The name and the text of a file.
fn read(path: &Path) -> Result<(String, String), SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(SettingsError { file, faults: vec![format!("cannot be read: {error}")] }),
    }
}

/// The values by section, and their faults; or why no sections could be read.
fn read_sections(text: &str, sections: &[(&str, &str)]) -> Result<(Values, Faults), Faults> {
    let ini = Ini::load_from_str(text)
        .map_err(|error| vec![format!("line {}: {}: correct the line", error.line, error.msg)])?;
    let mut values = Values::new();
    let mut faults = Faults::new();
    for (section, definition) in sections {
        let Some(properties) = ini.section(Some(*section)) else {
            faults.push(format!("section [{section}] is missing: add it"));
            continue;
        };
        let read = read_section(section, definition, properties, &mut faults);
        values.insert((*section).to_owned(), Value::Object(read));
    }
    Ok((values, faults))
}

fn read_section(
    section: &str,
    definition: &str,
    properties: &ini::Properties,
    faults: &mut Faults,
) -> Values {
    let mut values = Values::new();
    for field in range::fields(definition) {
        match properties.get(&field.name).map(|text| range::parse(&field, text)) {
            Some(Ok(value)) => drop(values.insert(field.name, value)),
            Some(Err(error)) => faults.push(format!("[{section}] {error}")),
            None => {}
        }
    }
    if let Err(errors) = range::check(definition, &values) {
        let reported = faults.join("\n");
        let new = errors.iter().map(|error| (error, format!("[{section}] {}:", error.field())));
        let new = new.filter(|(_, place)| !reported.contains(place));
        faults.extend(new.map(|(error, _)| format!("[{section}] {error}")));
    }
    values
}

fn address_faults(settings: &DirectSettings) -> Faults {
    let listen = &settings.listen;
    let needed = [
        ("[listen] callers", &listen.callers),
        ("[listen] readiness", &listen.readiness),
        ("[listen] endpoints", &listen.endpoints),
        ("[listen] peers", &listen.peers),
        ("[platform] store", &settings.platform.store),
    ];
    let optional = [("[listen] relay", &listen.relay), ("[listen] metrics", &listen.metrics)];
    let given = optional.into_iter().filter(|(_, text)| !text.is_empty());
    let all = needed.into_iter().chain(given);
    let wrong = all.filter(|(_, text)| text.parse::<SocketAddr>().is_err());
    wrong.map(|(name, text)| format!("{name}: `{text}` given; it must be IP:PORT")).collect()
}

fn sidecar_address_faults(values: &Value) -> Faults {
    let is_wrong = |name: &&str| {
        let text = values.get(*name).and_then(Value::as_str);
        text.is_some_and(|text| text.parse::<SocketAddr>().is_err())
    };
    let wrong = ["listen", "engine"].into_iter().filter(is_wrong);
    wrong.map(|name| format!("[sidecar] {name}: must be IP:PORT")).collect()
}
