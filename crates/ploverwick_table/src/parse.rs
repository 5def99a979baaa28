//! Parses a table from CSV and writes it back.

use std::collections::{BTreeMap, BTreeSet};

use csv::{ReaderBuilder, StringRecord, Trim};
use ploverwick_codes::diagnostic::{Diagnostic, Rule};

use crate::{Column, Field, Row, Subject, Table, Value};

const NAME_HEADER: &str = "name";
const MAX_EDIT_DISTANCE: usize = 3;

/// Parses a table from CSV.
///
/// # Errors
/// Returns all diagnostics for the file, ordered by line.
pub fn parse(text: &str) -> Result<Table, Vec<Diagnostic>> {
    let mut reader = ReaderBuilder::new()
        .flexible(true)
        .trim(Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let mut diagnostics = Diagnostics::default();
    let columns = match reader.headers() {
        Ok(headers) => read_headers(headers, &mut diagnostics),
        Err(error) => {
            diagnostics.add(Rule::NotCsv, 1, "", "", &error.to_string());
            return Err(diagnostics.list);
        }
    };
    let mut table = Table::default();
    let mut lines = BTreeMap::new();
    for record in reader.records() {
        match record {
            Ok(record) => read_row(&record, &columns, &mut table, &mut lines, &mut diagnostics),
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                diagnostics.add(Rule::NotCsv, line, "", "", &error.to_string());
            }
        }
    }
    check_groups(&table, &lines, &mut diagnostics);
    if diagnostics.list.is_empty() {
        return Ok(table);
    }
    diagnostics.list.sort_by_key(|diagnostic| diagnostic.line);
    Err(diagnostics.list)
}

/// Writes a table as CSV, ordered by subject and column.
pub fn write(table: &Table) -> String {
    let columns: BTreeSet<&Column> = table.rows().flat_map(|(_, row)| row.keys()).collect();
    let mut writer = csv::Writer::from_writer(Vec::new());
    let headers = columns.iter().map(ToString::to_string);
    let headers: Vec<String> = std::iter::once(NAME_HEADER.to_owned())
        .chain(headers)
        .collect();
    // Writing to memory does not fail, and every record is as long as the header.
    let _ = writer.write_record(&headers);
    for (subject, row) in table.rows() {
        let cells = columns
            .iter()
            .map(|column| row.get(column).map(ToString::to_string).unwrap_or_default());
        let record: Vec<String> = std::iter::once(subject.to_string()).chain(cells).collect();
        let _ = writer.write_record(&record);
    }
    let bytes = writer.into_inner().unwrap_or_default();
    String::from_utf8(bytes).unwrap_or_default()
}

#[derive(Default)]
struct Diagnostics {
    list: Vec<Diagnostic>,
}

impl Diagnostics {
    fn add(&mut self, rule: Rule, line: u64, column: &str, cell: &str, detail: &str) {
        self.list.push(Diagnostic {
            rule,
            line,
            column: column.to_owned(),
            cell: cell.to_owned(),
            detail: detail.to_owned(),
        });
    }
}

/// Parses the header line. An invalid column becomes `None`, so that its cells are skipped.
fn read_headers(headers: &StringRecord, diagnostics: &mut Diagnostics) -> Vec<Option<Column>> {
    if headers.get(0) != Some(NAME_HEADER) {
        let cell = headers.get(0).unwrap_or_default();
        diagnostics.add(Rule::NoNameColumn, 1, "", cell, "");
    }
    let mut seen = BTreeSet::new();
    let mut columns = Vec::new();
    for header in headers.iter().skip(1) {
        match header.parse::<Column>() {
            Ok(column) if seen.insert(column.clone()) => columns.push(Some(column)),
            Ok(_) => {
                diagnostics.add(Rule::ColumnTwice, 1, header, "", "");
                columns.push(None);
            }
            Err(rule) => {
                diagnostics.add(rule, 1, header, "", &nearest_header(rule, header));
                columns.push(None);
            }
        }
    }
    columns
}

fn nearest_header(rule: Rule, header: &str) -> String {
    if rule != Rule::ColumnUnknown {
        return String::new();
    }
    let word = header.split('[').next().unwrap_or_default();
    let nearest = Field::ALL
        .iter()
        .map(|(_, known)| (strsim::levenshtein(known, word), known))
        .min();
    match nearest {
        Some((distance, known)) if distance <= MAX_EDIT_DISTANCE => {
            format!("Did you mean {known:?}?")
        }
        _ => String::new(),
    }
}

fn read_row(
    record: &StringRecord,
    columns: &[Option<Column>],
    table: &mut Table,
    lines: &mut BTreeMap<Subject, u64>,
    diagnostics: &mut Diagnostics,
) {
    let line = record.position().map_or(0, csv::Position::line);
    let name = record.get(0).unwrap_or_default();
    if record.len() != columns.len() + 1 {
        let detail = format!(
            "It has {} fields; the header has {}.",
            record.len(),
            columns.len() + 1
        );
        diagnostics.add(Rule::NotCsv, line, "", name, &detail);
    }
    let subject = match name.parse::<Subject>() {
        Ok(subject) => subject,
        Err(rule) => {
            diagnostics.add(rule, line, NAME_HEADER, name, "");
            return;
        }
    };
    let row = read_cells(record, columns, &subject, line, diagnostics);
    if let Some(first) = lines.get(&subject) {
        let detail = format!("The first one is in line {first}.");
        diagnostics.add(Rule::SubjectTwice, line, NAME_HEADER, name, &detail);
        return;
    }
    lines.insert(subject.clone(), line);
    table.insert(subject, row);
}

fn read_cells(
    record: &StringRecord,
    columns: &[Option<Column>],
    subject: &Subject,
    line: u64,
    diagnostics: &mut Diagnostics,
) -> Row {
    let mut row = Row::new();
    for (cell, column) in record.iter().skip(1).zip(columns) {
        let Some(column) = column else { continue };
        if cell.is_empty() {
            continue;
        }
        if !column.field.is_policy() && !matches!(subject, Subject::Adapter(_)) {
            diagnostics.add(Rule::CellMisplaced, line, &column.to_string(), cell, "");
            continue;
        }
        match Value::parse(column.field, cell) {
            Ok(value) => {
                row.insert(column.clone(), value);
            }
            Err(rule) => diagnostics.add(rule, line, &column.to_string(), cell, ""),
        }
    }
    row
}

fn check_groups(table: &Table, lines: &BTreeMap<Subject, u64>, diagnostics: &mut Diagnostics) {
    for (subject, group) in table.missing_groups() {
        let line = lines.get(subject).copied().unwrap_or_default();
        diagnostics.add(Rule::GroupMissing, line, "group", group.as_str(), "");
    }
}
