//! The documented event catalogue matches the code. `LATCHWHEEL_WRITE_DOCS=1` writes it.

use latchwheel_events::{Event, Importance};
use std::collections::HashSet;
use std::fmt::Write;
use std::path::PathBuf;

const HEADING: &str = "## Typed events\n";

fn table() -> String {
    let mut text = String::from(HEADING);
    text.push_str(
        "\nLines of the proxy, the jobs and the adapter, on standard output: `time`\n(milliseconds since 1970), `steady` (milliseconds since the start), `node`,\n`role`, `event`, `name`, and the event's own fields (crates/events). Lines of\nroutine events are sampled by request once there are too many; E8004 reports\nthe number of dropped lines.\n\n| event | name | kept | when |\n| --- | --- | --- | --- |\n",
    );
    for (number, name, importance, meaning) in Event::CATALOGUE {
        let kept = match importance {
            Importance::Routine => "sampled",
            Importance::Essential => "always",
        };
        writeln!(text, "| E{number} | {name} | {kept} |{meaning} |").unwrap();
    }
    text
}

#[test]
fn the_catalogue_matches_the_code() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOG-EVENTS.md");
    let page = std::fs::read_to_string(&path).unwrap();
    let (before, _) = page.split_once(HEADING).unwrap_or((&page, ""));
    let expected = format!("{}\n\n{}", before.trim_end(), table());
    if std::env::var_os("LATCHWHEEL_WRITE_DOCS").is_some() {
        std::fs::write(&path, &expected).unwrap();
        return;
    }
    assert!(page == expected, "docs/LOG-EVENTS.md does not match the code; run with LATCHWHEEL_WRITE_DOCS=1");
}

#[test]
fn numbers_and_names_are_unique() {
    let numbers: HashSet<u32> = Event::CATALOGUE.iter().map(|entry| entry.0).collect();
    let names: HashSet<&str> = Event::CATALOGUE.iter().map(|entry| entry.1).collect();
    assert_eq!((numbers.len(), names.len()), (Event::CATALOGUE.len(), Event::CATALOGUE.len()));
}
