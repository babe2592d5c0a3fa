//! The generated tables of the documents are what the code says.
//!
//! `LATCHWHEEL_WRITE_DOCS=1` writes them.

use latchwheel_core::code::ResultCode;
use latchwheel_node::settings::FIELDS;
use std::fmt::Write;
use std::path::PathBuf;

const WRITE_VARIABLE: &str = "LATCHWHEEL_WRITE_DOCS";

fn document(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

fn compare(name: &str, expected: &str) {
    let path = document(name);
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(&path, expected).unwrap();
    }
    let present = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(present == expected, "docs/{name} is not what the code says; run with {WRITE_VARIABLE}=1");
}

#[test]
fn result_codes() {
    let mut text = String::from(
        "# Result codes\n\nEvery error answer carries the number in `x-latchwheel-code` and in its body, and\nwhether the request ran in `x-latchwheel-ran`. Numbers are never used again.\n\n| code | name | HTTP status | ran | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for code in ResultCode::ALL {
        let (number, name, status) = (code.number(), code.name(), code.http_status());
        writeln!(text, "| {number} | {name} | {status} | {} | {} |", code.ran().as_str(), code.text()).unwrap();
    }
    text.push_str("\n`not-run` is said only if no byte of the request was handed to an engine, or the\nengine itself refused it. `unknown` means that it can't be told; with an\nidempotency key a resend never runs it twice.\n");
    compare("RESULT-CODES.md", &text);
}

#[test]
fn settings() {
    let mut text = String::from(
        "# Settings of a node\n\nTOML; `latchwheel check-settings --settings FILE` checks a file and prints what\nis in force. All faults are reported at once, and unknown keys are refused.\n\n| key | allowed | default | meaning |\n| --- | --- | --- | --- |\n",
    );
    for field in FIELDS {
        let default = match (field.required, field.default) {
            (true, _) => "required".to_owned(),
            (false, "") => "empty".to_owned(),
            (false, default) => format!("`{default}`"),
        };
        writeln!(text, "| `{}` | {} | {default} | {} |", field.key, field.allowed(), field.text).unwrap();
    }
    compare("SETTINGS.md", &text);
}

/// Every event that the code logs is in the catalogue.
#[test]
fn log_events() {
    let catalogue = std::fs::read_to_string(document("LOG-EVENTS.md")).unwrap();
    let crates = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut events = std::collections::BTreeSet::new();
    visit(&crates, &mut |text| {
        for part in text.split("target: \"").skip(1) {
            let event: String = part.chars().take_while(|letter| *letter != '"').collect();
            events.insert(event);
        }
    });
    events.retain(|event| event.starts_with('E') && event.len() == 5);
    assert!(events.len() > 10, "the events are found: {events:?}");
    let missing: Vec<&String> = events.iter().filter(|event| !catalogue.contains(event.as_str())).collect();
    assert!(missing.is_empty(), "docs/LOG-EVENTS.md lacks {missing:?}");
}

fn visit(folder: &std::path::Path, read: &mut impl FnMut(&str)) {
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("target") {
            visit(&path, read);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            read(&std::fs::read_to_string(&path).unwrap());
        }
    }
}
