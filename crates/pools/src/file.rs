//! Reads the text of `pools.toml`, and fits it to the settings of an instance. All faults are found, each with line
//! and key.

use std::fmt;
use std::ops::Range;

use sagemast_decide::api::{ClassId, ZoneId};
use sagemast_decide::cross_zone::BudgetExemption;
use sagemast_decide::settings::Config as SettingsObject;
use serde::Deserialize;
use toml::Spanned;

use crate::counts::Names;
use crate::cross_zone_budget::{Budget, BudgetLimit, MAX_BUDGETS, Rules};

/// A crossing of no more worth than this is made freely; as [`Rules::fee`].
const FEE: f64 = 0.03;
/// As [`Rules::bend_at`].
const BEND_AT: f64 = 0.2;
/// Crossings that a budget by share saves up.
const BURST: f64 = 10.0;
/// Seconds of its rate that any other saves up.
const BURST_SECONDS: f64 = 2.0;
/// No rate or burst is larger in earnest.
const MOST: f64 = 1e12;

/// Something wrong in the file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Which line, from 1; 0 where it is about the whole file.
    pub line: usize,
    /// Which key, from the top of the file down.
    pub key: String,
    /// What is wrong, and what to do.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.line, self.key, self.text)
    }
}

/// A file that is sound as far as it can tell by itself.
#[derive(Debug, Clone)]
pub struct File {
    text: String,
    crossing: Crossing,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Top {
    crossing: Crossing,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Crossing {
    fee: Option<Spanned<f64>>,
    bend_at: Option<Spanned<f64>>,
    bends: Option<Vec<Spanned<String>>>,
    #[serde(default)]
    budget: Vec<Spanned<Entry>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    classes: Option<Vec<Spanned<String>>>,
    from: Option<Vec<Spanned<String>>>,
    to: Option<Vec<Spanned<String>>>,
    share: Option<Spanned<f64>>,
    per_second: Option<Spanned<f64>>,
    bytes_per_second: Option<Spanned<f64>>,
    burst: Option<Spanned<f64>>,
}

impl Entry {
    fn measures(&self) -> impl Iterator<Item = (BudgetLimit, &Spanned<f64>)> {
        let share = self.share.as_ref().map(|value| (BudgetLimit::Share(*value.get_ref()), value));
        let rate = self.per_second.as_ref().map(|value| (BudgetLimit::PerSecond(*value.get_ref()), value));
        let bytes = self
            .bytes_per_second
            .as_ref()
            .map(|value| (BudgetLimit::BytesPerSecond(*value.get_ref()), value));
        share.into_iter().chain(rate).chain(bytes)
    }
}

fn bend(name: &str) -> Option<BudgetExemption> {
    match name {
        "down" => Some(BudgetExemption::Down),
        "full" => Some(BudgetExemption::Full),
        "late" => Some(BudgetExemption::Late),
        "failing" => Some(BudgetExemption::Failing),
        "bound" => Some(BudgetExemption::Bound),
        _ => None,
    }
}

fn line(text: &str, span: &Range<usize>) -> usize {
    1 + text.as_bytes()[..span.start.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

impl File {
    /// Reads a text.
    pub fn read(text: &str) -> Result<File, Vec<Fault>> {
        let top: Top = toml::from_str(text).map_err(|error| {
            let at = error.span().unwrap_or(0..0);
            vec![Fault {
                line: line(text, &at),
                key: "crossing".to_owned(),
                text: error.message().to_owned(),
            }]
        })?;
        let file = File { text: text.to_owned(), crossing: top.crossing };
        let faults = file.faults();
        if faults.is_empty() { Ok(file) } else { Err(faults) }
    }

    fn fault(&self, span: Range<usize>, key: String, text: impl Into<String>) -> Fault {
        Fault { line: line(&self.text, &span), key, text: text.into() }
    }

    /// All that is wrong whatever the settings.
    fn faults(&self) -> Vec<Fault> {
        let Crossing { fee, bend_at, bends, budget } = &self.crossing;
        let mut faults = Vec::new();
        for (key, value) in [("fee", fee), ("bend_at", bend_at)] {
            let Some(value) = value else { continue };
            if !(*value.get_ref() > 0.0 && *value.get_ref() < 1.0) {
                let text = format!(
                    "it is {}; a share of a request's worth above 0 and below 1 is needed",
                    value.get_ref()
                );
                faults.push(self.fault(value.span(), format!("crossing.{key}"), text));
            }
        }
        let figure =
            |value: &Option<Spanned<f64>>, usual| value.as_ref().map_or(usual, |value| *value.get_ref());
        if faults.is_empty() && figure(fee, FEE) > figure(bend_at, BEND_AT) {
            let span = fee.as_ref().or(bend_at.as_ref()).map_or(0..0, Spanned::span);
            let text =
                "it is above crossing.bend_at: a full budget would close the border more than an empty one";
            faults.push(self.fault(span, "crossing.fee".to_owned(), text));
        }
        for name in bends.iter().flatten().filter(|name| bend(name.get_ref()).is_none()) {
            let text =
                format!("{:?} is no reason; there are down, full, late, failing and bound", name.get_ref());
            faults.push(self.fault(name.span(), "crossing.bends".to_owned(), text));
        }
        if budget.len() > MAX_BUDGETS {
            let text = format!("there are {}; {MAX_BUDGETS} are allowed", budget.len());
            faults.push(self.fault(budget[MAX_BUDGETS].span(), "crossing.budget".to_owned(), text));
        }
        for (number, entry) in budget.iter().enumerate() {
            let key = |key: &str| format!("crossing.budget[{number}].{key}");
            let measures: Vec<_> = entry.get_ref().measures().collect();
            if measures.len() != 1 {
                let text = "give one of share, per_second and bytes_per_second";
                faults.push(self.fault(entry.span(), format!("crossing.budget[{number}]"), text));
            }
            for (measure, value) in measures {
                let (name, most) = match measure {
                    BudgetLimit::Share(_) => ("share", 1.0),
                    BudgetLimit::PerSecond(_) => ("per_second", MOST),
                    BudgetLimit::BytesPerSecond(_) => ("bytes_per_second", MOST),
                };
                if !(0.0..=most).contains(value.get_ref()) {
                    let text = format!("it is {}; from 0 to {most} is allowed", value.get_ref());
                    faults.push(self.fault(value.span(), key(name), text));
                }
            }
            if let Some(burst) =
                entry.get_ref().burst.as_ref().filter(|b| !(1.0..=MOST).contains(b.get_ref()))
            {
                let text = format!("it is {}; at least 1 is needed", burst.get_ref());
                faults.push(self.fault(burst.span(), key("burst"), text));
            }
            let Entry { classes, from, to, .. } = entry.get_ref();
            for (name, list) in [("classes", classes), ("from", from), ("to", to)] {
                if list.as_ref().is_some_and(Vec::is_empty) {
                    let text = "it is empty, so that it would never count; leave it out for all";
                    faults.push(self.fault(entry.span(), key(name), text));
                }
            }
        }
        faults
    }

    /// The rules for an instance with these settings, and the names to count under.
    pub fn rules(&self, settings: &SettingsObject) -> Result<(Rules, Names), Vec<Fault>> {
        let classes: Vec<String> = settings.classes().into_iter().map(|class| class.name).collect();
        let zones = settings.zone_names().to_vec();
        let home = usize::try_from(settings.settings().zone.0).unwrap_or(usize::MAX);
        let mut faults = Vec::new();
        if home >= zones.len() {
            let text =
                format!("settings.azs names {} zones, and not number {home} of the instance", zones.len());
            faults.push(self.fault(0..0, "crossing".to_owned(), text));
            return Err(faults);
        }
        let Crossing { fee, bend_at, bends, budget } = &self.crossing;
        let figure =
            |value: &Option<Spanned<f64>>, usual| value.as_ref().map_or(usual, |value| *value.get_ref());
        let mut budgets = Vec::new();
        for (number, entry) in budget.iter().enumerate() {
            let mut find = |key: &str, what: &str, names: &Option<Vec<Spanned<String>>>, known: &[String]| {
                names.as_ref().map(|names| {
                    let place = |name: &Spanned<String>| {
                        let place = known.iter().position(|known| known == name.get_ref());
                        if place.is_none() {
                            let text = format!(
                                "the settings know no {what} {:?}; there are {}",
                                name.get_ref(),
                                known.join(", ")
                            );
                            let key = format!("crossing.budget[{number}].{key}");
                            faults.push(self.fault(name.span(), key, text));
                        }
                        place
                    };
                    names.iter().filter_map(place).collect::<Vec<usize>>()
                })
            };
            let entry = entry.get_ref();
            let of = find("classes", "class", &entry.classes, &classes);
            let from = find("from", "zone", &entry.from, &zones);
            let to = find("to", "zone", &entry.to, &zones);
            let Some((measure, _)) = entry.measures().next() else { continue };
            if from.is_some_and(|from| !from.contains(&home)) {
                continue;
            }
            let usual = match measure {
                BudgetLimit::Share(_) => BURST,
                BudgetLimit::PerSecond(rate) => (BURST_SECONDS * rate).max(1.0),
                BudgetLimit::BytesPerSecond(rate) => (BURST_SECONDS * rate).max(1.0),
            };
            budgets.push(Budget {
                classes: of.map(|classes| classes.into_iter().map(ClassId).collect()),
                to: to.map(|zones| zones.into_iter().map(|zone| ZoneId(zone as u64)).collect()),
                limit: measure,
                burst: figure(&entry.burst, usual),
            });
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let bends = match bends {
            Some(names) => names.iter().filter_map(|name| bend(name.get_ref())).collect(),
            None => BudgetExemption::ALL.to_vec(),
        };
        let rules = Rules {
            cost: figure(fee, FEE),
            exemption_threshold: figure(bend_at, BEND_AT),
            exemptions: bends,
            budgets,
        };
        Ok((rules, Names { classes, zones, local_zone: home }))
    }
}
