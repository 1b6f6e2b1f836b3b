//! Summarizes runs as a table, an HTML page and plots, with the minimum, median and maximum of each figure.
use crate::error::LabError;
use crate::scenario::{Fault, RunResult};
use plotters::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Write};

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);
/// Factor by which a plot extends beyond the largest value.
const VALUE_HEADROOM: f64 = 1.1;
/// Factor by which a plot extends beyond the largest fleet size.
const SIZE_HEADROOM: f64 = 1.2;
/// Minimum upper end of the value axis, so that a plot of zeros has an axis.
const MIN_PLOT_TOP: f64 = 0.1;
// Sort keys of the figures that are not measured for a single fault. They follow the figures of the faults.
const BYTES_ORDER: usize = 90;
const MAX_BYTES_ORDER: usize = 91;
const SUSPICIONS_ORDER: usize = 92;
const FALSE_DEATHS_ORDER: usize = 93;

/// One figure, summarized over all runs with one fleet size and loss.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportRow {
    /// Size of the fleet.
    pub members: usize,
    /// Percentage of the datagrams that are lost.
    pub loss_percent: u32,
    /// Name and unit of the figure.
    pub figure: String,
    /// Number of runs.
    pub runs: usize,
    /// Number of runs without a value, because the fleet never settled.
    pub never_settled: usize,
    /// Smallest value. `min`, `median` and `max` are NaN if no run has a value.
    pub min: f64,
    /// Median of the values.
    pub median: f64,
    /// Largest value.
    pub max: f64,
}

/// Key of a figure. Its order is the order of the rows in the report.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FigureKey {
    members: usize,
    loss_percent: u32,
    order: usize,
    figure: String,
}

/// Summarizes runs by size, loss and figure, in the order of the faults.
pub fn summarize(results: &[RunResult]) -> Vec<ReportRow> {
    let mut values: BTreeMap<FigureKey, Vec<Option<f64>>> = BTreeMap::new();
    for result in results {
        let mut add_value = |order: usize, figure: String, value: Option<f64>| {
            let members = result.config.members;
            let key = FigureKey { members, loss_percent: result.config.loss_percent, order, figure };
            values.entry(key).or_default().push(value);
        };
        for (fault, secs) in &result.settle_secs {
            add_value(*fault as usize, format!("{} (s)", fault_name(*fault)), *secs);
        }
        add_value(BYTES_ORDER, "bytes a second a member".into(), Some(result.bytes_per_sec));
        let max_bytes = Some(result.max_bytes_per_sec);
        add_value(MAX_BYTES_ORDER, "the same, the most of one member".into(), max_bytes);
        add_value(SUSPICIONS_ORDER, "suspicions an hour".into(), Some(result.suspicions_per_hour));
        add_value(FALSE_DEATHS_ORDER, "false deaths an hour".into(), Some(result.false_deaths_per_hour));
    }
    values.into_iter().map(|(key, values)| summarize_figure(key, &values)).collect()
}

fn summarize_figure(key: FigureKey, values: &[Option<f64>]) -> ReportRow {
    let mut known: Vec<f64> = values.iter().flatten().copied().collect();
    known.sort_by(f64::total_cmp);
    let value_at = |index: usize| known.get(index).copied().unwrap_or(f64::NAN);
    ReportRow {
        members: key.members,
        loss_percent: key.loss_percent,
        figure: key.figure,
        runs: values.len(),
        never_settled: values.len() - known.len(),
        min: value_at(0),
        median: value_at(known.len() / 2),
        max: value_at(known.len().saturating_sub(1)),
    }
}

/// Returns the fault's name on the command line and in results.
fn fault_name(fault: Fault) -> String {
    match serde_json::to_value(fault) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Formats the rows as a table for a terminal.
pub fn table(rows: &[ReportRow]) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{:>7} {:>4}  {:<34}{:>10}{:>10}{:>10}{:>6}{:>7}",
        "members", "loss", "", "min", "median", "max", "runs", "never"
    );
    for row in rows {
        let _ = writeln!(
            text,
            "{:>7} {:>3}%  {:<34}{:>10.2}{:>10.2}{:>10.2}{:>6}{:>7}",
            row.members,
            row.loss_percent,
            row.figure,
            row.min,
            row.median,
            row.max,
            row.runs,
            row.never_settled
        );
    }
    text
}

/// A plot as an SVG file.
pub struct Plot {
    /// Name of the file.
    pub file_name: String,
    /// Content of the file.
    pub svg: String,
}

fn plot_file_name(figure: &str) -> String {
    let plain: String = figure.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    format!("{}.svg", plain.trim_matches('-'))
}

/// The rows of one figure, by percentage of loss.
type LinesByLoss<'a> = BTreeMap<u32, Vec<&'a ReportRow>>;

/// Draws a plot of each figure against the fleet size, with one line for each loss.
///
/// # Errors
///
/// `LabError::Plot` if the plotting library fails.
pub fn plots(rows: &[ReportRow]) -> Result<Vec<Plot>, LabError> {
    let mut by_figure: BTreeMap<&str, LinesByLoss> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.median.is_finite()) {
        by_figure.entry(&row.figure).or_default().entry(row.loss_percent).or_default().push(row);
    }
    let mut plots = Vec::new();
    for (figure, lines) in by_figure {
        let mut svg = String::new();
        draw_plot(&mut svg, figure, &lines)
            .map_err(|reason| LabError::Plot { figure: figure.into(), reason })?;
        plots.push(Plot { file_name: plot_file_name(figure), svg });
    }
    Ok(plots)
}

/// Converts an error of the plotting library to text, because the error type depends on the backend.
fn reason(error: impl Display) -> String {
    error.to_string()
}

fn draw_plot(svg: &mut String, figure: &str, lines: &LinesByLoss) -> Result<(), String> {
    let rows = || lines.values().flatten();
    let max_members = rows().map(|row| row.members).max().unwrap_or(1);
    let top = rows().map(|row| row.max).fold(0.0, f64::max).max(MIN_PLOT_TOP) * VALUE_HEADROOM;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(reason)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption(figure, ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d((2f64..max_members as f64 * SIZE_HEADROOM).log_scale(), 0f64..top)
        .map_err(reason)?;
    chart
        .configure_mesh()
        .x_desc("members")
        .x_label_formatter(&|x| format!("{x:.0}"))
        .draw()
        .map_err(reason)?;
    for (n, (loss_percent, rows)) in lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let medians = rows.iter().map(|row| (row.members as f64, row.median));
        chart
            .draw_series(LineSeries::new(medians, color.stroke_width(2)))
            .map_err(reason)?
            .label(format!("{loss_percent}% lost"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let ranges = rows.iter().map(|row| {
            let x = row.members as f64;
            PathElement::new([(x, row.min), (x, row.max)], color)
        });
        chart.draw_series(ranges).map_err(reason)?;
    }
    chart.configure_series_labels().border_style(BLACK).draw().map_err(reason)?;
    area.present().map_err(reason)
}

const PAGE_TEMPLATE: &str = r#"<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Fleet in virtual time</title>
<style>body{font:15px sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td:nth-child(3){text-align:left}
.never{color:#b00}</style>
<h1>Fleet in virtual time</h1>
<p>Times count from the moment at which the members are able to settle until all have equal views. Each row has the minimum,
median and maximum over all seeds.</p>
{% for plot in plots %}<img src="{{ plot }}" alt="{{ plot }}">{% endfor %}
<table><tr><th>members<th>lost<th><th>min<th>median<th>max<th>runs<th>never</tr>
{% for r in rows %}<tr{% if r.never_settled %} class="never"{% endif %}><td>{{ r.members }}<td>{{ r.loss_percent }}%<td>{{ r.figure }}
<td>{{ r.min|round(2) }}<td>{{ r.median|round(2) }}<td>{{ r.max|round(2) }}<td>{{ r.runs }}<td>{{ r.never_settled }}</tr>
{% endfor %}</table></html>
"#;

/// Renders an HTML page with the rows and with the plots, which are files in the same folder.
///
/// # Errors
///
/// `LabError::Template` if the template is invalid or cannot be rendered.
pub fn page(rows: &[ReportRow]) -> Result<String, LabError> {
    let plotted = rows.iter().filter(|row| row.median.is_finite());
    let plots: BTreeSet<String> = plotted.map(|row| plot_file_name(&row.figure)).collect();
    let mut environment = minijinja::Environment::new();
    environment.add_template("page.html", PAGE_TEMPLATE)?;
    let template = environment.get_template("page.html")?;
    Ok(template.render(minijinja::context! { rows, plots })?)
}

#[cfg(test)]
mod tests;
