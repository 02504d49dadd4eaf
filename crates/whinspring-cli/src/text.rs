//! Layout of text output in lines of at most 79 columns.

/// Longest line of output, in characters.
pub const WIDTH: usize = 79;

/// Breaks `text` at spaces into lines; the first starts with `first`, the others with `rest`.
///
/// A word that does not fit on a line is split.
pub fn wrap(first: &str, rest: &str, text: &str) -> String {
    let mut lines = String::new();
    let mut line = first.to_string();
    let mut empty = true;
    for word in text.split(' ').flat_map(|word| split_word(word, WIDTH - rest.chars().count())) {
        let space = usize::from(!empty);
        if line.chars().count() + space + word.chars().count() > WIDTH {
            lines.push_str(line.trim_end());
            lines.push('\n');
            line = rest.to_string();
            empty = true;
        }
        if !empty {
            line.push(' ');
        }
        line.push_str(&word);
        empty = false;
    }
    lines.push_str(line.trim_end());
    lines.push('\n');
    lines
}

/// Splits a word into pieces of at most `width` characters.
fn split_word(word: &str, width: usize) -> Vec<String> {
    let chars: Vec<char> = word.chars().collect();
    if chars.is_empty() {
        return vec![String::new()];
    }
    chars.chunks(width).map(|piece| piece.iter().collect()).collect()
}

/// Formats rows as columns, two spaces apart and indented by two.
///
/// Lines longer than [`WIDTH`] are truncated.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("  {cell:<width$}"));
        }
        text.push_str(&truncate(line.trim_end()));
        text.push('\n');
    }
    text
}

/// Truncates a line to [`WIDTH`] characters; `~` marks a truncated line.
fn truncate(line: &str) -> String {
    if line.chars().count() <= WIDTH {
        return line.into();
    }
    line.chars().take(WIDTH - 1).chain(['~']).collect()
}
