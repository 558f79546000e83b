//! Parses the text of `pools.toml`, and applies it to the settings of an instance. All faults are reported,
//! each with its line and key.

use std::fmt;
use std::ops::Range;

use sagemast_decide::api::{ClassId, ZoneId};
use sagemast_decide::cross_zone::BudgetExemption;
use sagemast_decide::settings::Config as SettingsConfig;
use serde::Deserialize;
use toml::Spanned;

use crate::counts::Names;
use crate::cross_zone_budget::{Budget, BudgetLimit, MAX_BUDGETS, Rules};

/// Default of [`Rules::cost`], as a share of a request's worth.
const DEFAULT_COST: f64 = 0.03;
/// Default of [`Rules::exemption_threshold`], as a share of a request's worth.
const DEFAULT_EXEMPTION_THRESHOLD: f64 = 0.2;
/// Default burst of a budget by share, in attempts.
const DEFAULT_SHARE_BURST: f64 = 10.0;
/// Default burst of a budget by rate, in seconds of its rate.
const DEFAULT_RATE_BURST_SECONDS: f64 = 2.0;
/// Upper bound of rates and bursts; no realistic one is larger.
const MAX_RATE_OR_BURST: f64 = 1e12;

/// A fault of the file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The full key, such as `crossing.budget[0].share`.
    pub key: String,
    /// What is wrong, and what is needed instead.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.line, self.key, self.text)
    }
}

/// A parsed file without faults, except that its names have not been compared with any settings.
#[derive(Debug, Clone)]
pub struct File {
    text: String,
    cross_zone: CrossZoneTable,
}

/// The top level of the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(rename = "crossing")]
    cross_zone: CrossZoneTable,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct CrossZoneTable {
    #[serde(rename = "fee")]
    cost: Option<Spanned<f64>>,
    #[serde(rename = "bend_at")]
    exemption_threshold: Option<Spanned<f64>>,
    #[serde(rename = "bends")]
    exemptions: Option<Vec<Spanned<String>>>,
    #[serde(default, rename = "budget")]
    budgets: Vec<Spanned<BudgetTable>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetTable {
    classes: Option<Vec<Spanned<String>>>,
    from: Option<Vec<Spanned<String>>>,
    to: Option<Vec<Spanned<String>>>,
    share: Option<Spanned<f64>>,
    per_second: Option<Spanned<f64>>,
    bytes_per_second: Option<Spanned<f64>>,
    burst: Option<Spanned<f64>>,
}

impl BudgetTable {
    /// The limits that the table gives; valid tables give exactly one.
    fn limits(&self) -> impl Iterator<Item = (BudgetLimit, &Spanned<f64>)> {
        let share = self.share.as_ref().map(|value| (BudgetLimit::Share(*value.get_ref()), value));
        let rate = self.per_second.as_ref().map(|value| (BudgetLimit::PerSecond(*value.get_ref()), value));
        let bytes = self
            .bytes_per_second
            .as_ref()
            .map(|value| (BudgetLimit::BytesPerSecond(*value.get_ref()), value));
        share.into_iter().chain(rate).chain(bytes)
    }
}

fn exemption(name: &str) -> Option<BudgetExemption> {
    match name {
        "down" => Some(BudgetExemption::Down),
        "full" => Some(BudgetExemption::Full),
        "late" => Some(BudgetExemption::Late),
        "failing" => Some(BudgetExemption::Failing),
        "bound" => Some(BudgetExemption::Bound),
        _ => None,
    }
}

fn value_or(value: &Option<Spanned<f64>>, default: f64) -> f64 {
    value.as_ref().map_or(default, |value| *value.get_ref())
}

/// The number of the line in which a span begins, from 1.
fn line_of(text: &str, span: &Range<usize>) -> usize {
    1 + text.as_bytes()[..span.start.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

impl File {
    /// Parses a text.
    pub fn read(text: &str) -> Result<File, Vec<Fault>> {
        let document: Document = toml::from_str(text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            vec![Fault {
                line: line_of(text, &span),
                key: "crossing".to_owned(),
                text: error.message().to_owned(),
            }]
        })?;
        let file = File { text: text.to_owned(), cross_zone: document.cross_zone };
        let faults = file.faults();
        if faults.is_empty() { Ok(file) } else { Err(faults) }
    }

    fn fault(&self, span: Range<usize>, key: String, text: impl Into<String>) -> Fault {
        Fault { line: line_of(&self.text, &span), key, text: text.into() }
    }

    /// The faults that don't depend on settings.
    fn faults(&self) -> Vec<Fault> {
        let CrossZoneTable { cost, exemption_threshold, exemptions, budgets } = &self.cross_zone;
        let mut faults = Vec::new();
        for (key, value) in [("fee", cost), ("bend_at", exemption_threshold)] {
            let Some(value) = value else { continue };
            if !(*value.get_ref() > 0.0 && *value.get_ref() < 1.0) {
                let text = format!(
                    "it is {}; a share of a request's worth above 0 and below 1 is needed",
                    value.get_ref()
                );
                faults.push(self.fault(value.span(), format!("crossing.{key}"), text));
            }
        }
        let threshold = value_or(exemption_threshold, DEFAULT_EXEMPTION_THRESHOLD);
        if faults.is_empty() && value_or(cost, DEFAULT_COST) > threshold {
            let span = cost.as_ref().or(exemption_threshold.as_ref()).map_or(0..0, Spanned::span);
            let text = "it is above crossing.bend_at: leaving the zone would cost more with a full budget than \
                        with an empty one";
            faults.push(self.fault(span, "crossing.fee".to_owned(), text));
        }
        for name in exemptions.iter().flatten().filter(|name| exemption(name.get_ref()).is_none()) {
            let text =
                format!("{:?} is no reason; there are down, full, late, failing and bound", name.get_ref());
            faults.push(self.fault(name.span(), "crossing.bends".to_owned(), text));
        }
        if budgets.len() > MAX_BUDGETS {
            let text = format!("there are {}; {MAX_BUDGETS} are allowed", budgets.len());
            faults.push(self.fault(budgets[MAX_BUDGETS].span(), "crossing.budget".to_owned(), text));
        }
        for (number, table) in budgets.iter().enumerate() {
            let full_key = |key: &str| format!("crossing.budget[{number}].{key}");
            let limits: Vec<_> = table.get_ref().limits().collect();
            if limits.len() != 1 {
                let text = "give one of share, per_second and bytes_per_second";
                faults.push(self.fault(table.span(), format!("crossing.budget[{number}]"), text));
            }
            for (limit, value) in limits {
                let (key, max) = match limit {
                    BudgetLimit::Share(_) => ("share", 1.0),
                    BudgetLimit::PerSecond(_) => ("per_second", MAX_RATE_OR_BURST),
                    BudgetLimit::BytesPerSecond(_) => ("bytes_per_second", MAX_RATE_OR_BURST),
                };
                if !(0.0..=max).contains(value.get_ref()) {
                    let text = format!("it is {}; from 0 to {max} is allowed", value.get_ref());
                    faults.push(self.fault(value.span(), full_key(key), text));
                }
            }
            let burst = table.get_ref().burst.as_ref();
            if let Some(burst) = burst.filter(|burst| !(1.0..=MAX_RATE_OR_BURST).contains(burst.get_ref())) {
                let text = format!("it is {}; at least 1 is needed", burst.get_ref());
                faults.push(self.fault(burst.span(), full_key("burst"), text));
            }
            let BudgetTable { classes, from, to, .. } = table.get_ref();
            for (key, names) in [("classes", classes), ("from", from), ("to", to)] {
                if names.as_ref().is_some_and(Vec::is_empty) {
                    let text = "it is empty, so the budget would never apply; leave it out for all";
                    faults.push(self.fault(table.span(), full_key(key), text));
                }
            }
        }
        faults
    }

    /// The rules for an instance with these settings, and the names that its counts are kept under.
    pub fn rules(&self, settings: &SettingsConfig) -> Result<(Rules, Names), Vec<Fault>> {
        let classes: Vec<String> = settings.classes().into_iter().map(|class| class.name).collect();
        let zones = settings.zone_names().to_vec();
        let local_zone = usize::try_from(settings.settings().zone.0).unwrap_or(usize::MAX);
        let mut faults = Vec::new();
        if local_zone >= zones.len() {
            let text = format!(
                "settings.azs names {} zones; the zone of the instance, number {local_zone}, is not one of them",
                zones.len()
            );
            faults.push(self.fault(0..0, "crossing".to_owned(), text));
            return Err(faults);
        }
        let CrossZoneTable { cost, exemption_threshold, exemptions, budgets: tables } = &self.cross_zone;
        let mut budgets = Vec::new();
        for (number, table) in tables.iter().enumerate() {
            // Looks up names of classes or zones; each unknown one is a fault.
            let mut find = |key: &str, noun: &str, names: &Option<Vec<Spanned<String>>>, known: &[String]| {
                names.as_ref().map(|names| {
                    let index_of = |name: &Spanned<String>| {
                        let index = known.iter().position(|known| known == name.get_ref());
                        if index.is_none() {
                            let text = format!(
                                "the settings know no {noun} {:?}; there are {}",
                                name.get_ref(),
                                known.join(", ")
                            );
                            let key = format!("crossing.budget[{number}].{key}");
                            faults.push(self.fault(name.span(), key, text));
                        }
                        index
                    };
                    names.iter().filter_map(index_of).collect::<Vec<usize>>()
                })
            };
            let table = table.get_ref();
            let budget_classes = find("classes", "class", &table.classes, &classes);
            let from = find("from", "zone", &table.from, &zones);
            let to = find("to", "zone", &table.to, &zones);
            let Some((limit, _)) = table.limits().next() else { continue };
            if from.is_some_and(|from| !from.contains(&local_zone)) {
                continue;
            }
            let default_burst = match limit {
                BudgetLimit::Share(_) => DEFAULT_SHARE_BURST,
                BudgetLimit::PerSecond(rate) => (DEFAULT_RATE_BURST_SECONDS * rate).max(1.0),
                BudgetLimit::BytesPerSecond(rate) => (DEFAULT_RATE_BURST_SECONDS * rate).max(1.0),
            };
            budgets.push(Budget {
                classes: budget_classes.map(|classes| classes.into_iter().map(ClassId).collect()),
                to: to.map(|zones| zones.into_iter().map(|zone| ZoneId(zone as u64)).collect()),
                limit,
                burst: value_or(&table.burst, default_burst),
            });
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let exemptions = match exemptions {
            Some(names) => names.iter().filter_map(|name| exemption(name.get_ref())).collect(),
            None => BudgetExemption::ALL.to_vec(),
        };
        let rules = Rules {
            cost: value_or(cost, DEFAULT_COST),
            exemption_threshold: value_or(exemption_threshold, DEFAULT_EXEMPTION_THRESHOLD),
            exemptions,
            budgets,
        };
        Ok((rules, Names { classes, zones, local_zone }))
    }
}
