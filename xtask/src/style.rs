//! House-style check. Input: the texts of the repository's files. It holds no state. Each rule
//! checks one file, some of them against the other files, and returns its findings.
//!
//! `cargo fmt` and `clippy` check formatting, doc comments and lints.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::Path;

use eyre::Result;

/// Maximum length of a source file, in lines.
const MAX_LINES: usize = 600;

/// Folders that may contain the names of the users' platform.
const PLATFORM_FOLDERS: [&str; 2] = ["platform/", "deploy/"];

/// File with the names of the users' platform, one a line.
const PLATFORM_WORDS: &str = "platform/words.txt";

/// Modules on the path of every request.
const REQUEST_PATH: [&str; 20] = [
    "crates/core/src/attempt.rs",
    "crates/core/src/direct/admission.rs",
    "crates/core/src/direct/attempts.rs",
    "crates/core/src/direct/events.rs",
    "crates/core/src/direct/pool.rs",
    "crates/core/src/dispatch.rs",
    "crates/core/src/fair_queue.rs",
    "crates/core/src/routing.rs",
    "crates/direct/src/callers.rs",
    "crates/direct/src/callers/body.rs",
    "crates/direct/src/callers/activity.rs",
    "crates/direct/src/admission_queue.rs",
    "crates/direct/src/exchange.rs",
    "crates/direct/src/forward.rs",
    "crates/direct/src/relay.rs",
    "crates/direct/src/request.rs",
    "crates/hooktrestled/src/gateway/drive.rs",
    "crates/hooktrestled/src/gateway/router.rs",
    "crates/hooktrestled/src/sidecar/dispatch_actor.rs",
    "crates/hooktrestled/src/sidecar/run.rs",
];

/// Terms that the code must not use, and the term to use instead.
const REPLACED_TERMS: [(&str, &str); 4] = [
    ("zone", "data centre"),
    ("customer", "client account"),
    ("tenant", "client account"),
    ("upstream", "backend server"),
];

/// Allowed last parts of the names of numeric fields in the schema: units and counted things.
const UNITS: [&str; 30] = [
    "ms",
    "bytes",
    "mb",
    "tokens",
    "requests",
    "s",
    "hex",
    "layer",
    "slots",
    "tickets",
    "version",
    "versions",
    "revision",
    "number",
    "attempt",
    "attempts",
    "sequence",
    "incarnation",
    "epoch",
    "nonce",
    "priority",
    "weight",
    "skew",
    "rebalance",
    "status",
    "part",
    "parts",
    "steps",
    "percent",
    "port",
];

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The file, from the root.
    pub file: String,
    /// The line, from 1; 0 for the whole file.
    pub line: usize,
    /// Description of the violation.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// Texts of the files, by path from the repository's root.
pub type Files = BTreeMap<String, String>;

/// Reads the files that the rules check.
///
/// # Errors
///
/// A file cannot be read.
pub fn read(root: &Path) -> Result<Files> {
    let mut files = Files::new();
    read_below(root, root, &mut files)?;
    Ok(files)
}

fn read_below(root: &Path, folder: &Path, files: &mut Files) -> Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if path.is_dir() {
            // The journal holds records that stay as they were written, not sources.
            if name != "target" && name != "journal" && !name.starts_with('.') {
                read_below(root, &path, files)?;
            }
            continue;
        }
        let ending = path.extension().and_then(|ending| ending.to_str()).unwrap_or_default();
        if ["rs", "md", "json", "toml", "ini", "csv", "txt"].contains(&ending) {
            let relative = path.strip_prefix(root).unwrap_or(&path).display().to_string();
            files.insert(relative, fs::read_to_string(&path)?);
        }
    }
    Ok(())
}

/// Applies every rule.
pub fn check(files: &Files) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (file, text) in files {
        if file.ends_with(".rs") && !file.ends_with("generated.rs") {
            findings.extend(imports(file, text));
            findings.extend(words(file, text));
            findings.extend(length(file, text));
            findings.extend(dynamic(file, text));
        }
        if file.ends_with(".rs") || file.ends_with(".ini") || file.ends_with(".json") {
            findings.extend(platform_words(file, text, files));
        }
        if file.starts_with("crates/schema/schema/") {
            findings.extend(units(file, text));
        }
        if file.ends_with(".md") {
            findings.extend(links(file, text, files));
            findings.extend(named_tests(file, text, files));
        }
    }
    findings
}

/// Rule: one import a line, in three groups: std, external, crate.
pub fn imports(file: &str, text: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut group = 0;
    let mut gap = true;
    for (index, line) in text.lines().enumerate() {
        let import = line.strip_prefix("use ").or_else(|| line.strip_prefix("pub use "));
        let Some(path) = import else {
            gap |= line.trim().is_empty();
            if !line.trim().is_empty() && !line.starts_with("//") {
                group = 0;
            }
            continue;
        };
        if path.contains('{') {
            findings.push(finding(file, index, "more than one import in a line"));
        }
        let own = match path.split("::").next().unwrap_or_default() {
            "std" => 1,
            "crate" | "self" | "super" => 3,
            _ => 2,
        };
        let local = line.starts_with("pub use ");
        if !local && group != 0 && (own < group || (own > group && !gap)) {
            findings.push(finding(file, index, "imports go in three groups: std, external, crate"));
        }
        group = own;
        gap = false;
    }
    findings
}

/// Rule: the terms in `REPLACED_TERMS` are not used.
pub fn words(file: &str, text: &str) -> Vec<Finding> {
    // The users' platform uses other terms. Only its folder, where they are decoded, contains them.
    if file.starts_with("xtask/") || file.starts_with("platform/") {
        return Vec::new();
    }
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let lower = line.to_lowercase();
        let parts = lower.split(|letter: char| !letter.is_ascii_alphabetic());
        for (word, instead) in REPLACED_TERMS {
            if parts.clone().any(|part| part == word || part == format!("{word}s")) {
                findings.push(finding(file, index, &format!("`{word}`: the word is {instead}")));
            }
        }
    }
    findings
}

/// Rule: source files have at most `MAX_LINES` lines.
pub fn length(file: &str, text: &str) -> Vec<Finding> {
    let lines = text.lines().count();
    if lines <= MAX_LINES {
        return Vec::new();
    }
    vec![finding(file, 0, &format!("{lines} lines: split it ({MAX_LINES} at most)"))]
}

/// Rule: no dynamic dispatch in the modules on the path of every request.
pub fn dynamic(file: &str, text: &str) -> Vec<Finding> {
    if !REQUEST_PATH.contains(&file) {
        return Vec::new();
    }
    let dynamic = |line: &str| {
        let code = line.split("//").next().unwrap_or_default();
        code.split(|letter: char| !letter.is_alphanumeric() && letter != '_')
            .any(|word| word == "dyn")
    };
    let found = text.lines().enumerate().filter(|(_, line)| dynamic(line));
    found.map(|(index, _)| finding(file, index, "`dyn` on the request path")).collect()
}

/// Rule: the name of a numeric schema field ends with its unit.
pub fn units(file: &str, text: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let numeric =
            line.contains("\"type\": \"integer\"") || line.contains("\"type\": \"number\"");
        let name = line.trim().strip_prefix('"').and_then(|rest| rest.split('"').next());
        let Some(name) = name.filter(|_| numeric) else { continue };
        // The last field name before the type, as in `{ "id": …, "more_bytes": … }`.
        let last = line.split("\"type\": \"integer\"").next().unwrap_or(line);
        let name =
            last.rsplit("\": {").nth(1).and_then(|rest| rest.rsplit('"').next()).unwrap_or(name);
        let suffix = name.rsplit('_').next().unwrap_or_default();
        // `items` describes the elements of an array, which have no name.
        if name != "items" && !UNITS.contains(&suffix) {
            findings.push(finding(file, index, &format!("`{name}` does not end with its unit")));
        }
    }
    findings
}

/// Rule: links between pages refer to existing files.
pub fn links(file: &str, text: &str, files: &Files) -> Vec<Finding> {
    let folder = file.rsplit_once('/').map_or("", |(folder, _)| folder);
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        for rest in line.split("](").skip(1) {
            let target = rest.split([')', '#']).next().unwrap_or_default();
            let known = target.is_empty()
                || target.contains("://")
                || target.starts_with("LICENSE")
                || files.contains_key(&join(folder, target));
            if !known {
                findings.push(finding(file, index, &format!("no such page: {target}")));
            }
        }
    }
    findings
}

/// Rule: the tests named in the table of guarantees exist.
pub fn named_tests(file: &str, text: &str, files: &Files) -> Vec<Finding> {
    if !file.ends_with("GUARANTEES.md") {
        return Vec::new();
    }
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let mut source = None;
        for quoted in line.split('`').skip(1).step_by(2) {
            if quoted.ends_with(".rs") && quoted.contains('/') {
                source = files.get(quoted);
                if source.is_none() {
                    findings.push(finding(file, index, &format!("no such file: {quoted}")));
                }
            } else if let Some(source) = source
                && quoted.contains('_')
                && quoted.chars().all(|letter| letter.is_ascii_lowercase() || letter == '_')
                && !source.contains(&format!("fn {quoted}("))
            {
                findings.push(finding(file, index, &format!("no such test: {quoted}")));
            }
        }
    }
    findings
}

/// Rule: the names of the users' platform occur only in the folders of that platform.
pub fn platform_words(file: &str, text: &str, files: &Files) -> Vec<Finding> {
    if PLATFORM_FOLDERS.iter().any(|folder| file.starts_with(folder)) {
        return Vec::new();
    }
    let listed = files.get(PLATFORM_WORDS).map(String::as_str).unwrap_or_default();
    let words: Vec<&str> = listed.lines().map(str::trim).filter(|word| !word.is_empty()).collect();
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let found = words.iter().find(|word| line.contains(**word));
        if let Some(word) = found {
            findings.push(finding(file, index, &format!("`{word}` belongs to platform/ alone")));
        }
    }
    findings
}

fn finding(file: &str, index: usize, message: &str) -> Finding {
    Finding { file: file.to_owned(), line: index + 1, message: message.to_owned() }
}

fn join(folder: &str, target: &str) -> String {
    let mut parts: Vec<&str> = folder.split('/').filter(|part| !part.is_empty()).collect();
    for part in target.split('/') {
        match part {
            ".." => drop(parts.pop()),
            "." => {}
            part => parts.push(part),
        }
    }
    parts.join("/")
}
