//! A report as one HTML file: pictures as SVG, tables, the worst seeds with the commands that replay them. It needs
//! nothing beside it, and can be printed.

use minijinja::value::Serde;
use minijinja::{Environment, Value, context};
use plotters::prelude::*;
use serde::Serialize;

use crate::experiment::{Cell, Experiment, Results};
use crate::outcome::Outcome;
use crate::stats::{Interval, Verdict};

/// Colours that are told apart in print and by most who see fewer.
const COLOURS: [(u8, u8, u8); 10] = [
    (0, 114, 178),
    (213, 94, 0),
    (0, 158, 115),
    (204, 121, 167),
    (86, 180, 233),
    (230, 159, 0),
    (120, 94, 240),
    (100, 100, 100),
    (148, 72, 30),
    (0, 0, 0),
];
/// A picture's size.
const SIZE: (u32, u32) = (760, 320);
/// So many of the worst cells are shown.
const WORST: usize = 8;

/// A policy at a point: its figures over the seeds.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The values of the axes.
    pub point: String,
    /// The policy.
    pub policy: String,
    /// Goodput in percent, and half its interval.
    pub goodput: String,
    /// The difference to the first policy in points, with its interval.
    pub difference: String,
    /// What that tells.
    pub verdict: &'static str,
    /// Milliseconds: mean and quantiles.
    pub times: [String; 4],
    /// Refused, wasted work, unevenness, probes for each first try.
    pub costs: [String; 4],
    /// Broken rules over all seeds.
    pub broken: u64,
}

fn seeds<'r>(experiment: &Experiment, results: &'r Results, point: usize, policy: &str) -> Vec<&'r Outcome> {
    let cell = |seed: &u64| Cell { point, policy: policy.to_owned(), seed: *seed };
    experiment.seeds.iter().filter_map(|seed| results.get(&cell(seed))).collect()
}

fn mean(of: &[&Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    of.iter().map(|outcome| figure(outcome)).sum::<f64>() / of.len().max(1) as f64
}

/// The table of an experiment.
pub fn rows(experiment: &Experiment, results: &Results) -> Vec<Row> {
    let mut rows = Vec::new();
    for (at, point) in experiment.points.iter().enumerate() {
        let base =
            experiment.policies.first().map_or(Vec::new(), |first| seeds(experiment, results, at, first));
        for policy in &experiment.policies {
            let these = seeds(experiment, results, at, policy);
            let goodput: Vec<f64> = these.iter().map(|outcome| 100.0 * outcome.goodput).collect();
            let interval = Interval::of(&goodput, 1);
            let paired: Vec<f64> =
                these.iter().zip(&base).map(|(this, base)| 100.0 * (this.goodput - base.goodput)).collect();
            let difference = Interval::of(&paired, 1);
            let first = experiment.policies.first() == Some(policy);
            let asked = mean(&these, |outcome| outcome.asked as f64).max(1.0);
            let shown = |value: f64| if value.is_finite() { format!("{value:.1}") } else { "?".to_owned() };
            rows.push(Row {
                point: point.values.join(", "),
                policy: policy.clone(),
                goodput: format!("{:.1} ± {}", interval.mean, shown(interval.half())),
                difference: match first {
                    true => String::new(),
                    false => format!(
                        "{:+.1} [{}, {}]",
                        difference.mean,
                        shown(difference.low),
                        shown(difference.high)
                    ),
                },
                verdict: match difference.verdict() {
                    _ if first => "",
                    Verdict::Better => "better",
                    Verdict::Worse => "worse",
                    Verdict::NotTold => "not told apart",
                },
                times: [
                    mean(&these, |outcome| outcome.mean_ms),
                    mean(&these, |outcome| outcome.quantiles_ms[0]),
                    mean(&these, |outcome| outcome.quantiles_ms[2]),
                    mean(&these, |outcome| outcome.quantiles_ms[3]),
                ]
                .map(|value| format!("{value:.1}")),
                costs: [
                    100.0 * mean(&these, |outcome| outcome.refused as f64) / asked,
                    100.0 * mean(&these, |outcome| outcome.wasted),
                    mean(&these, |outcome| outcome.unevenness),
                    mean(&these, |outcome| outcome.probes as f64) / asked,
                ]
                .map(|value| format!("{value:.2}")),
                broken: these.iter().map(|outcome| outcome.broken).sum(),
            });
        }
    }
    rows
}

/// The table for a terminal.
pub fn table(experiment: &Experiment, results: &Results) -> String {
    let head = [
        "POINT",
        "POLICY",
        "GOODPUT %",
        "AGAINST FIRST",
        "",
        "MEAN MS",
        "P50",
        "P99",
        "P99.9",
        "REFUSED %",
        "WASTED %",
        "UNEVEN",
        "PROBES",
        "BROKEN",
    ];
    let mut lines = vec![head.map(str::to_owned)];
    for row in rows(experiment, results) {
        let [mean, p50, p99, p999] = row.times;
        let [refused, wasted, uneven, probes] = row.costs;
        lines.push([
            row.point,
            row.policy,
            row.goodput,
            row.difference,
            row.verdict.to_owned(),
            mean,
            p50,
            p99,
            p999,
            refused,
            wasted,
            uneven,
            probes,
            row.broken.to_string(),
        ]);
    }
    let widths: [usize; 14] =
        std::array::from_fn(|at| lines.iter().map(|line| line[at].chars().count()).max().unwrap_or(0));
    let mut text = String::new();
    for line in &lines {
        let cells: Vec<String> =
            line.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text += cells.join("  ").trim_end();
        text.push('\n');
    }
    text
}

type Points = Vec<(f64, f64)>;

struct Curve<'e> {
    name: &'e str,
    colour: RGBColor,
    points: Points,
}

/// A picture of some curves; nothing where there is nothing to draw.
fn picture(title: &str, x: &str, y: &str, log_y: bool, curves: &[Curve<'_>]) -> String {
    let all = || {
        curves.iter().flat_map(|curve| curve.points.iter()).filter(|(x, y)| x.is_finite() && y.is_finite())
    };
    if all().next().is_none() {
        return String::new();
    }
    let bounds = |of: fn(&(f64, f64)) -> f64| {
        let (least, most) =
            all().map(of).fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), v| (a.min(v), b.max(v)));
        if most > least { (least, most) } else { (least - 0.5, most + 0.5) }
    };
    let ((left, right), (low, high)) = (bounds(|p| p.0), bounds(|p| p.1));
    let mut svg = String::new();
    let drawn = (|| -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut builder = ChartBuilder::on(&area);
        builder.caption(title, ("sans-serif", 16)).margin(8).x_label_area_size(36).y_label_area_size(56);
        macro_rules! draw {
            ($y:expr) => {{
                let mut chart = builder.build_cartesian_2d(left..right, $y)?;
                chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(TRANSPARENT).draw()?;
                for curve in curves {
                    let colour = curve.colour;
                    chart
                        .draw_series(LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2)))?
                        .label(curve.name)
                        .legend(move |(x, y)| {
                            PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2))
                        });
                }
                chart
                    .configure_series_labels()
                    .border_style(BLACK)
                    .background_style(WHITE.mix(0.8))
                    .draw()?;
            }};
        }
        if log_y {
            let low = low.max(1e-3);
            draw!((low..high.max(low * 1.1)).log_scale())
        } else {
            draw!(low..high)
        }
        area.present()?;
        Ok(())
    })();
    // A picture that cannot be drawn is left out; the tables hold all figures.
    if drawn.is_ok() { svg } else { String::new() }
}

fn colour(at: usize) -> RGBColor {
    let (red, green, blue) = COLOURS[at % COLOURS.len()];
    RGBColor(red, green, blue)
}

/// Pictures of a point: goodput by second, and quantiles of times, each the mean over seeds.
fn pictures(experiment: &Experiment, results: &Results, point: usize) -> Vec<String> {
    let curves = |of: &dyn Fn(&[&Outcome]) -> Points| {
        let policies = experiment.policies.iter().enumerate();
        let curve = policies.map(|(at, name)| {
            let these = seeds(experiment, results, point, name);
            Curve { name, colour: colour(at), points: of(&these) }
        });
        curve.collect::<Vec<_>>()
    };
    let by_second = curves(&|these| {
        let length = these.iter().map(|outcome| outcome.by_second.len()).max().unwrap_or(0);
        let sum = |second: usize, place: usize| {
            these.iter().filter_map(|o| o.by_second.get(second)).map(|counts| counts[place]).sum::<u64>()
                as f64
        };
        let seconds = (0..length).filter(|second| sum(*second, 0) > 0.0);
        seconds.map(|second| (second as f64, 100.0 * sum(second, 1) / sum(second, 0))).collect()
    });
    let quantiles = curves(&|these| {
        // Nines on the axis: 0.5 is 0.3, 0.999 is 3.
        let nines = [0.5_f64, 0.9, 0.99, 0.999].map(|at| -(1.0 - at).log10());
        let times = |place: usize| mean(these, |outcome| outcome.quantiles_ms[place]).max(1e-3);
        if these.is_empty() { Vec::new() } else { (0..4).map(|at| (nines[at], times(at))).collect() }
    });
    vec![
        picture("Served in aim by second", "seconds", "% of what was asked", false, &by_second),
        picture("Time to the answer", "nines (1 is 90 %, 3 is 99.9 %)", "ms", true, &quantiles),
    ]
}

/// A picture of the sweep along the first axis, where its values are numbers and it is the only one.
fn sweep(experiment: &Experiment, results: &Results) -> String {
    let [axis] = &experiment.axes[..] else { return String::new() };
    let values: Option<Vec<f64>> =
        experiment.points.iter().map(|point| point.values[0].parse().ok()).collect();
    let Some(values) = values else { return String::new() };
    let curves: Vec<Curve<'_>> = experiment
        .policies
        .iter()
        .enumerate()
        .map(|(at, name)| {
            let goodput = |point| mean(&seeds(experiment, results, point, name), |o| 100.0 * o.goodput);
            let points = values.iter().enumerate().map(|(point, value)| (*value, goodput(point))).collect();
            Curve { name, colour: colour(at), points }
        })
        .collect();
    picture("Served in aim along the sweep", axis, "% of worth", false, &curves)
}

#[derive(Serialize)]
struct Worst {
    goodput: String,
    policy: String,
    point: String,
    seed: u64,
    command: String,
    breaks: Vec<String>,
}

const TEMPLATE: &str = include_str!("report.html");

/// The report of an experiment whose file has this name.
pub fn html(experiment: &Experiment, results: &Results, file: &str) -> Result<String, String> {
    let mut worst: Vec<(&Cell, &Outcome)> = results.iter().collect();
    worst.sort_by(|a, b| b.1.broken.cmp(&a.1.broken).then(a.1.goodput.total_cmp(&b.1.goodput)));
    let worst = worst.into_iter().take(WORST).map(|(cell, outcome)| Worst {
        goodput: format!("{:.1}", 100.0 * outcome.goodput),
        policy: cell.policy.clone(),
        point: experiment.points.get(cell.point).map_or(String::new(), |point| point.values.join(", ")),
        seed: cell.seed,
        command: format!(
            "sagemast-lab replay {file} --policy {} --point {} --seed {}",
            cell.policy, cell.point, cell.seed
        ),
        breaks: outcome.breaks.iter().take(3).cloned().collect(),
    });
    let points: Vec<_> = experiment
        .points
        .iter()
        .enumerate()
        .map(|(at, point)| context! { name => point.values.join(", "), pictures => pictures(experiment, results, at) })
        .collect();
    let mut environment = Environment::new();
    environment.add_template("report.html", TEMPLATE).map_err(|error| error.to_string())?;
    let template = environment.get_template("report.html").map_err(|error| error.to_string())?;
    let rendered = template.render(context! {
        question => experiment.question.clone(),
        axes => experiment.axes.join(", "),
        seeds => experiment.seeds.len(),
        rows => Value::from(Serde(rows(experiment, results))),
        sweep => sweep(experiment, results),
        points => points,
        worst => Value::from(Serde(worst.collect::<Vec<_>>())),
    });
    rendered.map_err(|error| error.to_string())
}
