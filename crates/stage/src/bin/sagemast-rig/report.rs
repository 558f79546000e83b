//! What a scenario has to say: figures, some of which have a bound.

use std::process::ExitCode;

/// Figures in the order in which they are printed.
pub struct Report {
    scenario: &'static str,
    rows: Vec<Row>,
    notes: Vec<String>,
}

struct Row {
    key: String,
    value: f64,
    at_most: Option<f64>,
}

impl Report {
    /// An empty one.
    pub fn new(scenario: &'static str) -> Report {
        Report { scenario, rows: Vec::new(), notes: Vec::new() }
    }

    /// Adds a figure.
    pub fn figure(&mut self, key: &str, value: f64) {
        self.rows.push(Row { key: key.to_owned(), value, at_most: None });
    }

    /// Adds a figure that must not be above its bound.
    pub fn bound(&mut self, key: &str, value: f64, at_most: f64) {
        self.rows.push(Row { key: key.to_owned(), value, at_most: Some(at_most) });
    }

    /// Adds a line for people.
    pub fn note(&mut self, text: String) {
        self.notes.push(text);
    }

    /// Prints it. Failure if a bound does not hold.
    pub fn print(self) -> ExitCode {
        let width = self.rows.iter().map(|row| row.key.len()).max().unwrap_or(0);
        println!("{}", self.scenario);
        let mut held = true;
        let mut figures = serde_json::Map::new();
        for row in &self.rows {
            let rounded = (row.value * 1e4).round() / 1e4;
            // Not below or equal, so that what is no number breaks its bound.
            let holds = row.at_most.is_none_or(|at_most| row.value <= at_most);
            held &= holds;
            let bound = row.at_most.map_or(String::new(), |at_most| {
                format!("  (at most {at_most}){}", if holds { "" } else { "  BROKEN" })
            });
            println!("  {:<width$}  {rounded}{bound}", row.key);
            figures.insert(row.key.replace(' ', "_"), serde_json::json!(rounded));
        }
        self.notes.iter().for_each(|note| println!("  {note}"));
        figures.insert("scenario".to_owned(), serde_json::json!(self.scenario));
        figures.insert("held".to_owned(), serde_json::json!(held));
        println!("{}", serde_json::Value::Object(figures));
        if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}
