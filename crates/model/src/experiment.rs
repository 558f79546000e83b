//! An experiment as a file: a base day, axes to sweep, policies, seeds. Its cells are run on all cores, in any order,
//! and each is written when it is done; a run that was ended goes on where it stopped.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs::OpenOptions;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::sync::Mutex;

use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Value};

use crate::day::Day;
use crate::outcome::Outcome;
use crate::policy;
use crate::world::play;

/// So many cells at most: a sweep of more is a slip of the pen.
pub const MOST_CELLS: usize = 100_000;
/// The version of the form of results.
pub const VERSION: u32 = 1;

/// An experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// What it asks.
    pub question: String,
    /// Policies by name; the first is what others are compared with.
    pub policies: Vec<String>,
    /// Seeds of a cell.
    pub seeds: Vec<u64>,
    /// The points of the sweep, each a day.
    pub points: Vec<Point>,
    /// Keys of the axes.
    pub axes: Vec<String>,
}

/// A point of a sweep.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// The values of the axes, as they are shown.
    pub values: Vec<String>,
    /// The day.
    pub day: Day,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    question: String,
    policies: Vec<Spanned<String>>,
    seeds: Spanned<u64>,
    #[serde(default)]
    axis: Vec<Spanned<Axis>>,
    day: Spanned<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Axis {
    key: String,
    values: Vec<Value>,
    /// How values are shown; as they are written if there are none.
    #[serde(default)]
    names: Vec<String>,
}

/// Something wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Which line, from 1.
    pub line: usize,
    /// Which key.
    pub key: String,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.line, self.key, self.text)
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

/// The line of a key such as `servers[0].speed` in the table `day`; that of the table where it is not written out.
fn line_of(text: &str, path: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else { return 0 };
    let mut here: Option<&DeValue<'_>> = None;
    let mut span = 0;
    for part in ["day"].into_iter().chain(path.split(['.', '[', ']']).filter(|part| !part.is_empty())) {
        let found = match here {
            None => table.get_ref().iter().find(|(name, _)| name.get_ref().as_ref() == part),
            Some(DeValue::Table(table)) => table.iter().find(|(name, _)| name.get_ref().as_ref() == part),
            Some(DeValue::Array(array)) => {
                let Some(entry) = part.parse().ok().and_then(|at: usize| array.get(at)) else { break };
                (here, span) = (Some(entry.get_ref()), entry.span().start);
                continue;
            }
            Some(_) => break,
        };
        let Some((name, value)) = found else { break };
        (here, span) = (Some(value.get_ref()), name.span().start);
    }
    line_at(text, span)
}

/// Puts a value where a dotted key leads in a table; an error if nothing there has the key's parent.
fn put(table: &mut Value, key: &str, value: Value) -> Result<(), String> {
    let parts: Vec<&str> = key.split(['.', '[', ']']).filter(|part| !part.is_empty()).collect();
    let Some((last, path)) = parts.split_last() else { return Err("it is empty".to_owned()) };
    let mut here = table;
    for part in path {
        here = match here {
            Value::Table(table) => table.entry(*part).or_insert_with(|| Value::Table(Default::default())),
            Value::Array(array) => {
                let entry = part.parse().ok().and_then(|at: usize| array.get_mut(at));
                entry.ok_or_else(|| format!("{part} is no place in its list"))?
            }
            _ => return Err(format!("{part} is under a plain value")),
        };
    }
    match here {
        Value::Table(table) => drop(table.insert((*last).to_owned(), value)),
        Value::Array(array) => match last.parse().ok().and_then(|at: usize| array.get_mut(at)) {
            Some(entry) => *entry = value,
            None => return Err(format!("{last} is no place in its list")),
        },
        _ => return Err(format!("{last} is under a plain value")),
    }
    Ok(())
}

impl Experiment {
    /// Reads the text of a file. All faults are told; with `short`, only two seeds and an eighth of each day are run.
    pub fn read(text: &str, short: bool) -> Result<Experiment, Vec<Fault>> {
        let fault = |line: usize, key: &str, text: String| Fault { line, key: key.to_owned(), text };
        let file: File = toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            vec![fault(line_at(text, at), "file", error.message().to_owned())]
        })?;
        let mut faults = Vec::new();
        for name in file.policies.iter().filter(|name| !policy::NAMES.contains(&name.get_ref().as_str())) {
            let known = policy::NAMES.join(", ");
            let line = line_at(text, name.span().start);
            faults.push(fault(
                line,
                "policies",
                format!("no policy is named {:?}; there are {known}", name.get_ref()),
            ));
        }
        let seeds = *file.seeds.get_ref();
        let line = line_at(text, file.seeds.span().start);
        if seeds == 0 || seeds > 10_000 {
            faults.push(fault(line, "seeds", format!("it is {seeds}; from 1 to 10000 is allowed")));
        }
        if file.policies.is_empty() {
            faults.push(fault(line, "policies", "there are none".to_owned()));
        }
        let sizes = file.axis.iter().map(|axis| axis.get_ref().values.len());
        let cells = sizes.fold(file.policies.len().saturating_mul(seeds as usize), usize::saturating_mul);
        if cells > MOST_CELLS {
            let at = file.axis.first().map_or(line, |axis| line_at(text, axis.span().start));
            faults.push(fault(at, "axis", format!("these are {cells} cells; {MOST_CELLS} are allowed")));
            return Err(faults);
        }
        let mut points = vec![(Vec::new(), file.day.get_ref().clone())];
        for axis in &file.axis {
            let at = line_at(text, axis.span().start);
            let Axis { key, values, names } = axis.get_ref();
            if !names.is_empty() && names.len() != values.len() {
                let text = format!("{key} has {} values and {} names", values.len(), names.len());
                faults.push(fault(at, "axis", text));
            }
            if values.is_empty() {
                faults.push(fault(at, "axis", format!("{key} has no values")));
            }
            let mut swept = Vec::new();
            for (shown, day) in &points {
                for (number, value) in values.iter().enumerate() {
                    let (mut shown, mut day) = (shown.clone(), day.clone());
                    if let Err(reason) = put(&mut day, key, value.clone()) {
                        faults.push(fault(at, "axis", format!("{key} names nothing in the day: {reason}")));
                    }
                    shown.push(names.get(number).cloned().unwrap_or_else(|| value.to_string()));
                    swept.push((shown, day));
                }
            }
            points = swept;
        }
        let mut days = Vec::new();
        for (values, day) in points {
            match Day::deserialize(day) {
                Ok(mut day) => {
                    let wrong = day.faults();
                    faults.extend(
                        wrong
                            .into_iter()
                            .map(|(key, said)| fault(line_of(text, &key), &format!("day.{key}"), said)),
                    );
                    if short {
                        day.length_s /= 8.0;
                        day.warm_up_s /= 8.0;
                        for fault in &mut day.fault {
                            (fault.from_s, fault.for_s) = (fault.from_s / 8.0, fault.for_s / 8.0);
                        }
                    }
                    days.push(Point { values, day });
                }
                Err(error) => {
                    let line = line_at(text, file.day.span().start);
                    faults.push(fault(line, "day", error.message().to_owned()));
                }
            }
        }
        faults.dedup();
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Experiment {
            question: file.question,
            policies: file.policies.into_iter().map(Spanned::into_inner).collect(),
            seeds: (1..=if short { seeds.min(2) } else { seeds }).collect(),
            points: days,
            axes: file.axis.into_iter().map(|axis| axis.into_inner().key).collect(),
        })
    }

    /// Every cell, in order.
    pub fn cells(&self) -> Vec<Cell> {
        let mut cells = Vec::new();
        for point in 0..self.points.len() {
            for policy in &self.policies {
                for seed in &self.seeds {
                    cells.push(Cell { point, policy: policy.clone(), seed: *seed });
                }
            }
        }
        cells
    }

    /// The sum that tells this experiment's results from another's: of all days as they are played.
    pub fn sum(&self) -> u64 {
        let text = serde_json::to_string(&self.points.iter().map(|point| &point.day).collect::<Vec<_>>());
        text.unwrap_or_default().bytes().fold(0xcbf2_9ce4_8422_2325, |sum: u64, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
    }

    /// Plays one cell.
    pub fn play(&self, cell: &Cell, trace: bool) -> Outcome {
        // A policy of an experiment that was read is one that there is.
        play(&self.points[cell.point].day, &cell.policy, cell.seed, trace).unwrap_or_default()
    }

    /// Runs every cell that a file of results does not hold yet, and adds it there. `done` is called after each. The
    /// file is then put in the order of the cells, so that it is the same however it came about.
    pub fn run(&self, results: &Path, done: impl Fn() + Sync) -> io::Result<Results> {
        let sum = self.sum();
        let mut found = read_results(results, sum)?;
        let cells = self.cells();
        found.retain(|cell, _| cells.contains(cell));
        let left: Vec<&Cell> = cells.iter().filter(|cell| !found.contains_key(cell)).collect();
        (0..cells.len() - left.len()).for_each(|_| done());
        let file = Mutex::new(OpenOptions::new().create(true).append(true).open(results)?);
        let fresh: Vec<(Cell, Outcome)> = left
            .into_par_iter()
            .map(|cell| {
                let outcome = self.play(cell, false);
                let line = line(sum, cell, &outcome)?;
                let mut file = file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                // One write: a run that is ended leaves whole lines but for the last.
                file.write_all(line.as_bytes())?;
                done();
                Ok((cell.clone(), outcome))
            })
            .collect::<io::Result<_>>()?;
        found.extend(fresh);
        let beside = results.with_extension("new");
        let text: String =
            found.iter().map(|(cell, outcome)| line(sum, cell, outcome)).collect::<io::Result<_>>()?;
        std::fs::write(&beside, text)?;
        std::fs::rename(&beside, results)?;
        Ok(found)
    }
}

/// A cell of an experiment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// Which point.
    pub point: usize,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
}

/// What came of the cells that are done.
pub type Results = BTreeMap<Cell, Outcome>;

#[derive(Serialize, Deserialize)]
struct Line {
    v: u32,
    sum: String,
    #[serde(flatten)]
    cell: Cell,
    outcome: Outcome,
}

fn line(sum: u64, cell: &Cell, outcome: &Outcome) -> io::Result<String> {
    let line = Line { v: VERSION, sum: format!("{sum:016x}"), cell: cell.clone(), outcome: outcome.clone() };
    Ok(serde_json::to_string(&line)? + "\n")
}

/// Reads results of an experiment with this sum; what is torn, of another one or of another version is passed over.
pub fn read_results(path: &Path, sum: u64) -> io::Result<Results> {
    let file = match std::fs::File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Results::new()),
        Err(error) => return Err(error),
    };
    let sum = format!("{sum:016x}");
    let mut found = Results::new();
    for text in io::BufReader::new(file).lines() {
        let Ok(line) = serde_json::from_str::<Line>(&text?) else { continue };
        if line.v == VERSION && line.sum == sum {
            found.insert(line.cell, line.outcome);
        }
    }
    Ok(found)
}

/// Points and policies that results hold whole.
pub fn is_whole(experiment: &Experiment, results: &Results) -> bool {
    let wanted: BTreeSet<Cell> = experiment.cells().into_iter().collect();
    wanted.iter().all(|cell| results.contains_key(cell))
}
