//! One line of the log.

use serde_json::{Map, Value};

/// A typed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time of day in milliseconds since 1970.
    pub time: u64,
    /// Node that wrote it.
    pub node: String,
    /// Name of the event.
    pub name: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

/// Fields that name the subject of an event.
const SUBJECTS: [&str; 3] = ["id", "job", "item"];
/// Fields that every line has.
const COMMON: [&str; 6] = ["time", "steady", "node", "role", "event", "name"];

impl LogLine {
    /// Reads a line; whatever stands before the first brace is passed over,
    /// so that lines a collector has stamped can be read too.
    pub fn read(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        Some(Self {
            time: fields.get("time").and_then(Value::as_u64)?,
            node: text("node")?,
            name: text("name")?,
            fields,
        })
    }

    /// Whether the line is about a request, job or item of that identity.
    pub fn concerns(&self, subject: &str) -> bool {
        SUBJECTS.iter().any(|field| self.text(field) == subject)
    }

    /// A field of text, or an empty one.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field with a number, or zero.
    pub fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }

    /// The event's own fields as `name=value`.
    pub fn own_fields(&self) -> String {
        let own = self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
        own.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
    }
}

/// All typed lines of a text, ordered by time; other lines are passed over.
pub fn read_lines(text: &str) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = text.lines().filter_map(LogLine::read).collect();
    lines.sort_by_key(|line| line.time);
    lines
}
