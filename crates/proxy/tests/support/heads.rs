//! Heads of answers that can't be used, as servers write them.

#![allow(dead_code)]

/// The line that announces chunks.
pub const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Answers that have these lines in their heads, and this body if they have any.
pub struct Heads {
    pub lines: &'static str,
    pub body: String,
}

/// A body in one chunk.
pub fn in_chunks(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

impl Heads {
    /// An answer with this status line and these further lines.
    pub fn answer(&self, status: &str, lines: &str, body: &str) -> String {
        format!("HTTP/1.1 {status}\r\n{}{lines}\r\n{body}", self.lines)
    }

    /// The body with its length.
    pub fn with_length(&self, status: &str) -> String {
        self.answer(status, &format!("content-length: {}\r\n", self.body.len()), &self.body)
    }

    /// The body after these lines.
    pub fn with_lines(&self, lines: &str) -> String {
        self.answer("200 OK", lines, &self.body)
    }

    /// The body in chunks after these lines.
    pub fn with_coding(&self, lines: &str) -> String {
        self.answer("200 OK", lines, &in_chunks(&self.body))
    }

    /// Answers whose head can't be used, each with a name.
    pub fn unusable(&self) -> Vec<(String, String)> {
        let length = self.body.len();
        let statuses =
            ["000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK", "20 OK", "2000 OK", "abc OK"];
        let interim = ["100 Continue", "102 Processing", "150 OK", "199 OK"];
        let codings = [
            "chunke",
            "chunkedd",
            "chunked,",
            ",chunked",
            "",
            ",",
            "\"chunked\"",
            "gzip",
            "identity",
            "gzip, chunked",
            "chunked, gzip",
            "chunked, chunked",
            "chunked;x=1",
            "chunked chunked",
            "chunk\u{e9}d",
        ];
        let lengths = [
            "abc".to_owned(),
            String::new(),
            "-1".to_owned(),
            format!("+{length}"),
            format!("{length}.0"),
            format!("0x{length:x}"),
            format!("{length} {length}"),
            format!("{length},"),
            format!("{length}, 3"),
            format!("{length}\r\ncontent-length: 3"),
            format!("3\r\ncontent-length: {length}"),
            format!("{length}\r\ncontent-length: x"),
            "99999999999999999999999".to_owned(),
        ];
        let lines = [
            "no field",
            "nofield",
            ": no name",
            "bla nk: a",
            "blank : a",
            " blank: a",
            "\tblank: a",
            "cont\u{1}rol: a",
            "cont\u{7f}rol: a",
            "cont\0rol: a",
            "cont\rrol: a",
            "cont\nrol: a",
            "na(me: a",
            "n\u{e4}me: a",
            "value: a\0",
            "value: a\rb",
            "folded: a\r\n b",
        ];
        let mut answers = Vec::new();
        answers.extend(
            statuses.iter().chain(&interim).map(|status| (format!("status {status}"), self.with_length(status))),
        );
        for status in interim {
            let without_body = self.answer(status, "content-length: 0\r\n", "");
            answers.push((format!("status {status} without a body"), without_body));
            answers.push((format!("status {status} in chunks"), self.answer(status, CHUNKED, &in_chunks(&self.body))));
        }
        for coding in codings {
            answers.push((format!("coding {coding:?}"), self.with_coding(&format!("transfer-encoding: {coding}\r\n"))));
        }
        let twice = "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n";
        answers.push(("coding in two lines".into(), self.with_coding(twice)));
        let with_gzip = "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n";
        answers.push(("another coding in two lines".into(), self.with_coding(with_gzip)));
        for value in &lengths {
            answers.push((format!("length {value:?}"), self.with_lines(&format!("content-length: {value}\r\n"))));
        }
        for value in ["3".to_owned(), length.to_string(), "x".to_owned(), in_chunks(&self.body).len().to_string()] {
            let lines = format!("content-length: {value}\r\ntransfer-encoding: chunked\r\n");
            answers.push((format!("length {value:?} beside chunks"), self.with_coding(&lines)));
            let lines = format!("transfer-encoding: chunked\r\ncontent-length: {value}\r\n");
            answers.push((format!("length {value:?} after chunks"), self.with_coding(&lines)));
        }
        for line in lines {
            answers
                .push((format!("line {line:?}"), self.with_lines(&format!("{line}\r\ncontent-length: {length}\r\n"))));
            answers.push((
                format!("line {line:?} at the end"),
                self.with_lines(&format!("content-length: {length}\r\n{line}\r\n")),
            ));
            answers.push((format!("line {line:?} without a length"), self.with_lines(&format!("{line}\r\n"))));
        }
        for (name, version) in [("later version", "HTTP/1.2"), ("no protocol", "HTPP/1.1"), ("HTTP/2", "HTTP/2.0")] {
            answers.push((name.into(), self.with_length("200 OK").replace("HTTP/1.1", version)));
        }
        for lines in ["content-length: 5\r\n", "content-length: x\r\n", CHUNKED] {
            answers.push((format!("204 with {lines:?}"), self.answer("204 No Content", lines, "")));
        }
        answers.push((
            "304 with a length of letters".into(),
            self.answer("304 Not Modified", "content-length: x\r\n", ""),
        ));
        answers.push(("coding in the older version".into(), self.with_coding(CHUNKED).replace("HTTP/1.1", "HTTP/1.0")));
        answers
    }
}
