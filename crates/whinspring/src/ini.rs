//! Reading of INI text with every fault listed at once.
//!
//! [`parse`] splits text into sections and entries that know their line. A [`Reader`] takes typed
//! values out of one section, collects what is wrong with them, and at its end refuses the
//! entries that nobody asked for.
//!
//! One line is one section head, one entry or one comment; values are taken as they stand,
//! without quotes, escapes or comments behind them.

use {
    crate::name::Name,
    ini::{Ini, ParseOption},
    std::{
        error::Error,
        fmt::{self, Display, Formatter},
        ops::RangeInclusive,
    },
};

/// Something wrong in INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1; that of the section if an entry is missing.
    pub line: usize,
    /// Name of the section; empty before the first one.
    pub section: Name,
    /// Key of the entry; empty if the fault concerns the section or the line.
    pub key: Name,
    /// What is wrong.
    pub text: String,
    /// What would be right.
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

/// A section of INI text.
#[derive(Debug, Clone)]
pub struct Section {
    /// Its name.
    pub name: Name,
    /// Line of its head.
    pub line: usize,
    /// Its entries in order.
    pub entries: Vec<Entry>,
}

/// One `key = value` line.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The key.
    pub key: Name,
    /// The value, without surrounding space.
    pub value: Name,
    /// Its line.
    pub line: usize,
}

/// Splits `text` into sections, and lists the lines that are no INI.
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

/// Options under which a value is taken as it stands.
const LINE_OPTIONS: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

/// Describes a line that is no INI.
fn line_fault(line: usize, text: &str) -> Fault {
    Fault {
        line,
        section: Name::new(),
        key: Name::new(),
        text: format!("`{}` is no section, entry or comment", text.trim()),
        hint: "write [section], key = value, or # comment on a line of its own".into(),
    }
}

/// Opens the section `name`, or opens it again and lists a fault.
fn open_section(sections: &mut Vec<Section>, faults: &mut Vec<Fault>, name: &str, line: usize) {
    let name = Name::from(name.trim());
    if let Some(first) = sections.iter().find(|section| section.name == name) {
        faults.push(Fault {
            line,
            section: name.clone(),
            key: Name::new(),
            text: format!("the section is there twice, first on line {}", first.line),
            hint: "join the two".into(),
        });
    }
    sections.push(Section { name, line, entries: Vec::new() });
}

/// Adds an entry to the open section.
fn add_entry(
    sections: &mut [Section],
    faults: &mut Vec<Fault>,
    line: usize,
    key: &str,
    value: &str,
) {
    let key = Name::from(key.trim());
    let Some(section) = sections.last_mut() else {
        let (text, hint) = ("the entry stands before the first section", "move it into a section");
        let section = Name::new();
        faults.push(Fault { line, section, key, text: text.into(), hint: hint.into() });
        return;
    };
    if let Some(first) = section.entries.iter().find(|entry| entry.key == key) {
        let text = format!("the key is there twice, first on line {}", first.line);
        let section = section.name.clone();
        faults.push(Fault { line, section, key, text, hint: "delete one of the two".into() });
        return;
    }
    section.entries.push(Entry { key, value: value.trim().into(), line });
}

/// Takes typed values out of one section.
#[derive(Debug)]
pub struct Reader<'a> {
    /// The section.
    section: &'a Section,
    /// Keys asked for so far.
    known: Vec<&'static str>,
    /// What is wrong so far.
    faults: &'a mut Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Starts reading `section`; what is wrong is added to `faults`.
    pub fn new(section: &'a Section, faults: &'a mut Vec<Fault>) -> Self {
        Self { section, known: Vec::new(), faults }
    }

    /// Returns the value of `key`, or lists a fault if it is missing or `parse` refuses it.
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

    /// Returns the value of `key` if it is there, or lists a fault if `parse` refuses it.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        hint: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.read(key, hint, parse, |value| format!("`{value}` is not accepted"))
    }

    /// Returns the value of `key` as [`Reader::required`] does, but never shows it in a fault.
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

    /// Parses the value of `key` if it is there, or lists a fault with the text of `refusal`.
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

    /// Returns the whole number of `key` within `range`, or `default` if the key is missing.
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

    /// Returns whether the section has `key`.
    pub fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    /// Lists a fault of `key`.
    pub fn fault(&mut self, key: &str, text: &str, hint: &str) {
        self.faults.push(Fault {
            line: self.entry(key).map_or(self.section.line, |entry| entry.line),
            section: self.section.name.clone(),
            key: key.into(),
            text: text.into(),
            hint: hint.into(),
        });
    }

    /// Lists a fault for each entry that nobody asked for.
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

    /// Returns the entry of `key`.
    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|entry| entry.key == key)
    }
}

/// Lists a fault for each section that is not `known`.
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

/// Returns the section `name`, empty if it is missing.
pub fn find(sections: &[Section], name: &str) -> Section {
    let found = sections.iter().find(|section| section.name == name);
    let empty = || Section { name: name.into(), line: 0, entries: Vec::new() };
    found.cloned().unwrap_or_else(empty)
}

/// Returns `text` if it can name a node, service, server or domain.
///
/// Names go into object paths and metric labels: 1 to 63 letters, digits, `-` or `_`.
pub fn parse_name(text: &str) -> Option<Name> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=63).contains(&text.len()).then_some(())?;
    text.chars().all(allowed).then(|| text.into())
}

/// What a name may be.
pub const NAME_HINT: &str = "write 1 to 63 letters, digits, - or _";

/// Returns `text` if it is a token of HTTP, such as a header's name, in lower case.
pub fn parse_token(text: &str) -> Option<Name> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    (!text.is_empty() && text.chars().all(allowed)).then(|| text.to_ascii_lowercase().into())
}

/// Returns whether `text` is `yes` or `no`.
pub fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}
