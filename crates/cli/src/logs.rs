//! `explain` and `report`: reading log lines.

use crate::arguments::Arguments;
use crate::exit::Failure;
use latchwheel_explain::{explain, read_lines, summary, LogLine};
use std::io::Read;

/// `explain ID [FILE...]`.
pub(crate) fn explain_subject(arguments: &Arguments) -> Result<(), Failure> {
    let subject = arguments.word(1);
    if subject.is_empty() {
        return Err(Failure::Usage("the identity of a request, job or item is missing".into()));
    }
    let lines = read(arguments, 2)?;
    match explain(&lines, subject) {
        Some(text) => {
            print!("{text}");
            Ok(())
        }
        None => Err(Failure::Run(format!("no line is about {subject}"))),
    }
}

/// `report [FILE...]`.
pub(crate) fn report(arguments: &Arguments) -> Result<(), Failure> {
    print!("{}", summary(&read(arguments, 1)?));
    Ok(())
}

/// Lines of the files from that word on, or of standard input.
fn read(arguments: &Arguments, from: usize) -> Result<Vec<LogLine>, Failure> {
    let fault = |name: &str, fault: std::io::Error| Failure::Run(format!("{name}: {fault}"));
    let mut text = String::new();
    let mut position = from;
    while !arguments.word(position).is_empty() {
        let name = arguments.word(position);
        text.push_str(&std::fs::read_to_string(name).map_err(|error| fault(name, error))?);
        text.push('\n');
        position += 1;
    }
    if position == from {
        std::io::stdin().read_to_string(&mut text).map_err(|error| fault("standard input", error))?;
    }
    Ok(read_lines(&text))
}
