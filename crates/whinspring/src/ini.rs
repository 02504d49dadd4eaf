//! INI parser that reports all faults at once.
//!
//! [`parse`] splits text into sections and entries with their line numbers. A [`Reader`] reads
//! typed values from one section, collects their faults, and finally reports the entries that were
//! not read as unknown.
//!
//! Each line is a section header, an entry or a comment. Values are taken literally: quotes,
//! escapes and trailing comments are not supported.

use {
    crate::name::Name,
    ini::{Ini, ParseOption},
    std::{
        error::Error,
        fmt::{self, Display, Formatter},
        ops::RangeInclusive,
    },
};

/// Fault in INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line number from 1; that of the section if an entry is missing, zero if there is none.
    pub line: usize,
    /// Name of the section; empty before the first section.
    pub section: Name,
    /// Key of the entry; empty if the fault concerns the whole section or line.
    pub key: Name,
    /// Description of the fault.
    pub text: String,
    /// How to correct it.
    pub hint: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; {}", self.text, self.hint)
    }
}

impl Error for Fault {}

#[derive(Debug, Clone)]
pub struct Section {
    pub name: Name,
    /// Line number of the header.
    pub line: usize,
    /// Entries in the order of the text.
    pub entries: Vec<Entry>,
}

/// A line `key = value`.
#[derive(Debug, Clone)]
pub struct Entry {
    pub key: Name,
    /// The value without surrounding whitespace.
    pub value: Name,
    /// Line number.
    pub line: usize,
}

/// Splits `text` into sections and reports the lines that are not valid.
pub fn parse(text: &str) -> (Vec<Section>, Vec<Fault>) {
    let mut sections: Vec<Section> = Vec::new();
    let mut faults = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let Ok(ini) = Ini::load_from_str_opt(line, LINE_OPTIONS) else {
            faults.push(line_fault(number, line));
            continue;
        };
        for (name, entries) in ini.iter() {
            if let Some(name) = name {
                open_section(&mut sections, &mut faults, name, number);
            }
            for (key, value) in entries.iter() {
                add_entry(&mut sections, &mut faults, number, key, value);
            }
        }
    }
    (sections, faults)
}

/// Parses values literally.
const LINE_OPTIONS: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

/// Creates the fault of a line that is not valid.
fn line_fault(line: usize, text: &str) -> Fault {
    Fault {
        line,
        section: Name::new(),
        key: Name::new(),
        text: format!("`{}` is not a section, entry or comment", text.trim()),
        hint: "write [section], key = value, or # comment on a line of its own".into(),
    }
}

/// Starts the section `name`, with a fault if it is a duplicate.
fn open_section(sections: &mut Vec<Section>, faults: &mut Vec<Fault>, name: &str, line: usize) {
    let name = Name::from(name.trim());
    if let Some(first) = sections.iter().find(|section| section.name == name) {
        faults.push(Fault {
            line,
            section: name.clone(),
            key: Name::new(),
            text: format!("duplicate section, first defined on line {}", first.line),
            hint: "merge the two sections".into(),
        });
    }
    sections.push(Section { name, line, entries: Vec::new() });
}

/// Adds an entry to the current section.
fn add_entry(
    sections: &mut [Section],
    faults: &mut Vec<Fault>,
    line: usize,
    key: &str,
    value: &str,
) {
    let key = Name::from(key.trim());
    let Some(section) = sections.last_mut() else {
        let (text, hint) = ("the entry precedes the first section", "move it into a section");
        let section = Name::new();
        faults.push(Fault { line, section, key, text: text.into(), hint: hint.into() });
        return;
    };
    if let Some(first) = section.entries.iter().find(|entry| entry.key == key) {
        let text = format!("duplicate key, first set on line {}", first.line);
        let section = section.name.clone();
        faults.push(Fault {
            line,
            section,
            key,
            text,
            hint: "delete one of the two entries".into(),
        });
        return;
    }
    section.entries.push(Entry { key, value: value.trim().into(), line });
}

/// Reads typed values from one section.
#[derive(Debug)]
pub struct Reader<'a> {
    section: &'a Section,
    /// Keys read so far.
    known: Vec<&'static str>,
    /// Faults found so far.
    faults: &'a mut Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `section` that adds its faults to `faults`.
    pub fn new(section: &'a Section, faults: &'a mut Vec<Fault>) -> Self {
        Self { section, known: Vec::new(), faults }
    }

    /// Returns the value of `key`; reports a fault if it is missing or `parse` rejects it.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        hint: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            self.fault(key, "the key is missing", hint);
        }
        self.optional(key, hint, parse)
    }

    /// Returns the value of `key` if it is present; reports a fault if `parse` rejects it.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        hint: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.read(key, hint, parse, |value| format!("`{value}` is not accepted"))
    }

    /// Returns the value of `key` like [`Reader::required`], but never shows it in a fault.
    pub fn secret<T>(
        &mut self,
        key: &'static str,
        hint: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            self.fault(key, "the key is missing", hint);
        }
        self.read(key, hint, parse, |_| "the value is not accepted".into())
    }

    /// Parses the value of `key` if it is present; reports a fault with `message` if that fails.
    fn read<T>(
        &mut self,
        key: &'static str,
        hint: &str,
        parse: impl FnOnce(&str) -> Option<T>,
        message: impl FnOnce(&str) -> String,
    ) -> Option<T> {
        self.known.push(key);
        let value = self.entry(key)?.value.clone();
        let parsed = parse(&value);
        if parsed.is_none() {
            self.fault(key, &message(&value), hint);
        }
        parsed
    }

    /// Returns the integer value of `key`, or `default` if it is missing; reports a fault if the
    /// value is not within `range`.
    pub fn number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> Option<u32> {
        let hint = format!("write a whole number from {} to {}", range.start(), range.end());
        if self.entry(key).is_none() {
            self.known.push(key);
            return Some(default);
        }
        self.optional(key, &hint, |text| text.parse().ok().filter(|number| range.contains(number)))
    }

    pub fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    /// Reports a fault of `key`.
    pub fn fault(&mut self, key: &str, text: &str, hint: &str) {
        self.faults.push(Fault {
            line: self.entry(key).map_or(self.section.line, |entry| entry.line),
            section: self.section.name.clone(),
            key: key.into(),
            text: text.into(),
            hint: hint.into(),
        });
    }

    /// Reports each entry that was not read as unknown.
    pub fn close(self) {
        for entry in &self.section.entries {
            if self.known.iter().any(|known| *known == entry.key) {
                continue;
            }
            self.faults.push(Fault {
                line: entry.line,
                section: self.section.name.clone(),
                key: entry.key.clone(),
                text: "the key is unknown".into(),
                hint: format!("known keys: {}", self.known.join(", ")),
            });
        }
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|entry| entry.key == key)
    }
}

/// Reports a fault for each section that is not in `known`.
pub fn reject_unknown(sections: &[Section], known: &[&str], faults: &mut Vec<Fault>) {
    for section in sections {
        if known.contains(&section.name.as_str()) {
            continue;
        }
        faults.push(Fault {
            line: section.line,
            section: section.name.clone(),
            key: Name::new(),
            text: "the section is unknown".into(),
            hint: format!("known sections: {}", known.join(", ")),
        });
    }
}

/// Returns the section `name`, or an empty one if it is missing.
pub fn find(sections: &[Section], name: &str) -> Section {
    let found = sections.iter().find(|section| section.name == name);
    let empty = || Section { name: name.into(), line: 0, entries: Vec::new() };
    found.cloned().unwrap_or_else(empty)
}

/// Parses the name of a node, service, server, domain or deployment.
///
/// Names are used in object paths and metric labels: 1 to 63 ASCII letters, digits, `-` or `_`.
pub fn parse_name(text: &str) -> Option<Name> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=63).contains(&text.len()).then_some(())?;
    text.chars().all(allowed).then(|| text.into())
}

pub const NAME_HINT: &str = "write 1 to 63 letters, digits, - or _";

/// Parses an HTTP token, such as the name of a header, and converts it to lower case.
pub fn parse_token(text: &str) -> Option<Name> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    (!text.is_empty() && text.chars().all(allowed)).then(|| text.to_ascii_lowercase().into())
}

/// Parses `yes` or `no`.
pub fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}
