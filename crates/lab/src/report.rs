//! What many runs come to: least, middle and most of each figure, as a table, a page and plots.
use crate::runs::{Fault, Record};
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One figure of all runs of a size and a loss.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub members: usize,
    /// Percent.
    pub loss: u32,
    pub what: String,
    pub runs: usize,
    /// Runs that have no such figure since the fleet never settled.
    pub never: usize,
    pub least: f64,
    pub middle: f64,
    pub most: f64,
}

/// Figures by size, loss and name, in the order of the schedule.
pub fn rows(records: &[Record]) -> Vec<Row> {
    let mut all: BTreeMap<(usize, u32, usize, String), Vec<Option<f64>>> = BTreeMap::new();
    for r in records {
        let mut add = |order: usize, what: String, value: Option<f64>| {
            all.entry((r.plan.members, r.plan.loss, order, what)).or_default().push(value);
        };
        for (fault, secs) in &r.settled {
            add(*fault as usize, format!("{} (s)", word(*fault)), *secs);
        }
        add(90, "bytes a second a member".into(), Some(r.bytes));
        add(91, "the same, the most of one member".into(), Some(r.bytes_most));
        add(92, "suspicions an hour".into(), Some(r.suspicions_an_hour));
        add(93, "false deaths an hour".into(), Some(r.false_deaths_an_hour));
    }
    let row = |((members, loss, _, what), values): ((usize, u32, usize, String), Vec<Option<f64>>)| {
        let mut known: Vec<f64> = values.iter().flatten().copied().collect();
        known.sort_by(f64::total_cmp);
        let at = |n: usize| known.get(n).copied().unwrap_or(f64::NAN);
        Row {
            members,
            loss,
            what,
            runs: values.len(),
            never: values.len() - known.len(),
            least: at(0),
            middle: at(known.len() / 2),
            most: at(known.len().saturating_sub(1)),
        }
    };
    all.into_iter().map(row).collect()
}

fn word(fault: Fault) -> String {
    serde_json::to_value(fault).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
}

/// For a terminal.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::new();
    // Writing to memory does not fail.
    let _ = writeln!(
        out,
        "{:>7} {:>4}  {:<34}{:>10}{:>10}{:>10}{:>6}{:>7}",
        "members", "loss", "", "min", "median", "max", "runs", "never"
    );
    for r in rows {
        let _ = writeln!(
            out,
            "{:>7} {:>3}%  {:<34}{:>10.2}{:>10.2}{:>10.2}{:>6}{:>7}",
            r.members, r.loss, r.what, r.least, r.middle, r.most, r.runs, r.never
        );
    }
    out
}

fn file_of(what: &str) -> String {
    let plain: String = what.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    format!("{}.svg", plain.trim_matches('-'))
}

/// A plot of each figure against size, a line for each loss; by file name.
pub fn plots(rows: &[Row]) -> Result<Vec<(String, String)>, String> {
    let mut by_what: BTreeMap<&str, BTreeMap<u32, Vec<&Row>>> = BTreeMap::new();
    for r in rows.iter().filter(|r| r.middle.is_finite()) {
        by_what.entry(&r.what).or_default().entry(r.loss).or_default().push(r);
    }
    by_what.into_iter().map(|(what, lines)| Ok((file_of(what), plot(what, &lines)?))).collect()
}

fn plot(what: &str, lines: &BTreeMap<u32, Vec<&Row>>) -> Result<String, String> {
    let all = || lines.values().flatten();
    let most_members = all().map(|r| r.members).max().unwrap_or(1);
    let top = all().map(|r| r.most).fold(0.0, f64::max).max(0.1) * 1.1;
    let mut svg = String::new();
    let said = |e: &dyn std::fmt::Display| e.to_string();
    {
        let area = SVGBackend::with_string(&mut svg, (640, 400)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| said(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .caption(what, ("sans-serif", 18))
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d((2f64..most_members as f64 * 1.2).log_scale(), 0f64..top)
            .map_err(|e| said(&e))?;
        chart
            .configure_mesh()
            .x_desc("members")
            .x_label_formatter(&|x| format!("{x:.0}"))
            .draw()
            .map_err(|e| said(&e))?;
        for (n, (loss, rows)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let points = || rows.iter().map(|r| (r.members as f64, r.middle));
            chart
                .draw_series(LineSeries::new(points(), color.stroke_width(2)))
                .map_err(|e| said(&e))?
                .label(format!("{loss}% lost"))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            // From the least to the most of all seeds.
            let spread = |r: &&Row| {
                let x = r.members as f64;
                PathElement::new([(x, r.least), (x, r.most)], color)
            };
            chart.draw_series(rows.iter().map(spread)).map_err(|e| said(&e))?;
        }
        chart.configure_series_labels().border_style(BLACK).draw().map_err(|e| said(&e))?;
        area.present().map_err(|e| said(&e))?;
    }
    Ok(svg)
}

const PAGE: &str = r#"<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Fleet in virtual time</title>
<style>body{font:15px sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td:nth-child(3){text-align:left}
.never{color:#b00}</style>
<h1>Fleet in virtual time</h1>
<p>Time from the moment at which all could have one view again until they have it; least, middle and most of all seeds.</p>
{% for plot in plots %}<img src="{{ plot }}" alt="{{ plot }}">{% endfor %}
<table><tr><th>members<th>lost<th><th>min<th>median<th>max<th>runs<th>never</tr>
{% for r in rows %}<tr{% if r.never %} class="never"{% endif %}><td>{{ r.members }}<td>{{ r.loss }}%<td>{{ r.what }}
<td>{{ r.least|round(2) }}<td>{{ r.middle|round(2) }}<td>{{ r.most|round(2) }}<td>{{ r.runs }}<td>{{ r.never }}</tr>
{% endfor %}</table></html>
"#;

/// A page that shows the plots beside it.
pub fn page(rows: &[Row]) -> Result<String, String> {
    let names: std::collections::BTreeSet<String> =
        rows.iter().filter(|r| r.middle.is_finite()).map(|r| file_of(&r.what)).collect();
    let mut env = minijinja::Environment::new();
    env.add_template("page.html", PAGE).map_err(|e| e.to_string())?;
    let page = env.get_template("page.html").map_err(|e| e.to_string())?;
    page.render(minijinja::context! { rows, plots => names }).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;
