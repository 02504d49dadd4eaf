//! Checks that the tables in `docs/RESULTS.md` match the code.

use whinspring::{code::Code, plan::Error};

const PAGE: &str = include_str!("../../../docs/RESULTS.md");

/// Returns the cells of each table row whose first cell is a three-digit number.
fn rows() -> Vec<Vec<&'static str>> {
    let cells = |line: &'static str| {
        let inner = line.trim().trim_start_matches('|').trim_end_matches('|');
        inner.split('|').map(str::trim).collect::<Vec<_>>()
    };
    let numbered = |row: &Vec<&str>| row[0].len() == 3 && row[0].parse::<u16>().is_ok();
    PAGE.lines().filter(|line| line.starts_with('|')).map(cells).filter(numbered).collect()
}

#[test]
fn codes_match_the_page() {
    let codes: Vec<_> = Code::ALL
        .iter()
        .map(|code| {
            let status = match code.status() {
                0 => "server's".to_string(),
                status => status.to_string(),
            };
            let class = code.class().as_str().to_string();
            vec![(*code as u16).to_string(), class, status, code.text().to_string()]
        })
        .collect();
    let page: Vec<_> = rows().into_iter().filter(|row| row.len() > 2).collect();
    assert!(page.iter().all(|row| row.len() == 6 && row.iter().all(|cell| !cell.is_empty())));
    let page: Vec<_> = page
        .iter()
        .map(|row| row[..4].iter().map(ToString::to_string).collect::<Vec<_>>())
        .collect();
    assert_eq!(page, codes);
}

#[test]
fn errors_match_the_page() {
    let page: Vec<_> = rows().into_iter().filter(|row| row.len() == 2).collect();
    let errors: Vec<_> = Error::TABLE
        .iter()
        .map(|(number, text)| vec![number.to_string(), text.to_string()])
        .collect();
    assert_eq!(page, errors);
}
