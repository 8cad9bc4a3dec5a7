//! From a series to next week. The models come from a library (augurs' MSTL) and from last weeks as they were; which one
//! is used is decided by how well each would have foretold the last week.

use super::WEEK;
use super::series::Series;
use augurs_core::{Fit, Predict};
use augurs_mstl::MSTLModel;

/// Weeks of history without which nothing is foretold: one to learn from, one to test on.
const LEAST_WEEKS: usize = 2;
/// Weeks from which on the library's model has enough to learn from beside the week to test on.
const WEEKS_FOR_MSTL: usize = 3;
/// Share of the slots that must have been counted.
const LEAST_COUNTED: f64 = 0.7;
/// The interval holds so much of what the test week showed.
const INTERVAL: f64 = 0.9;
/// What is small is measured against this share of the mean, so that a quiet night does not make an interval of its own.
const FLOOR: f64 = 0.25;

/// One hour ahead.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    pub requests: f64,
    pub least: f64,
    pub most: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Forecast {
    pub model: &'static str,
    /// By how much the model was off in the test week, as a share of what was asked in it.
    pub error: f64,
    /// The label of the first hour, and a week of hours.
    pub first: u64,
    pub hours: Vec<Outlook>,
    /// Of one request, in seconds.
    pub work_of_one: f64,
}

type Model = fn(&[f64]) -> Option<Vec<f64>>;

fn last_week(known: &[f64]) -> Option<Vec<f64>> {
    known.len().checked_sub(WEEK).map(|from| known[from..].to_vec())
}

fn mean_of_weeks(known: &[f64]) -> Option<Vec<f64>> {
    let weeks = (known.len() / WEEK).min(4);
    (weeks >= 2).then(|| {
        let of_hour = |hour: usize| {
            let back = |week: usize| known[known.len() - week * WEEK + hour];
            (1..=weeks).map(back).sum::<f64>() / weeks as f64
        };
        (0..WEEK).map(of_hour).collect()
    })
}

fn mstl(known: &[f64]) -> Option<Vec<f64>> {
    if known.len() < (WEEKS_FOR_MSTL - 1) * WEEK {
        return None;
    }
    let fitted = MSTLModel::naive(vec![24, WEEK]).fit(known).ok()?;
    let forecast = fitted.predict(WEEK, None).ok()?;
    // The trend goes on from the last hour alone: the middle of the last week's level stands for it.
    let level = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let shift = level(&known[known.len() - WEEK..]) - level(&forecast.point);
    let point =
        forecast.point.iter().map(|value| value + shift).map(|value| if value.is_finite() { value } else { 0.0 });
    Some(point.collect())
}

const MODELS: [(&str, Model); 3] = [("last_week", last_week), ("mean_of_weeks", mean_of_weeks), ("mstl", mstl)];

/// Gaps are filled for the fit only: with the same hour of another week, else with the mean.
fn filled(series: &[Option<f64>]) -> Vec<f64> {
    let counted: Vec<f64> = series.iter().flatten().copied().collect();
    let mean = counted.iter().sum::<f64>() / counted.len().max(1) as f64;
    let other_week = |at: usize| {
        let before = (1..=at / WEEK).map(|week| at - week * WEEK);
        let after = (1..).map(|week| at + week * WEEK).take_while(|at| *at < series.len());
        before.chain(after).find_map(|at| series[at])
    };
    (0..series.len()).map(|at| series[at].or_else(|| other_week(at)).unwrap_or(mean)).collect()
}

/// Next week of a series; nothing where there is too little history.
pub fn foresee(series: &Series) -> Option<Forecast> {
    let length = series.requests.len();
    let counted = series.requests.iter().flatten().count();
    if length < LEAST_WEEKS * WEEK || (counted as f64) < length as f64 * LEAST_COUNTED {
        return None;
    }
    let known = filled(&series.requests);
    let (train, test) = (&known[..length - WEEK], &series.requests[length - WEEK..]);
    let asked: f64 = test.iter().flatten().sum();
    let mean = asked / test.iter().flatten().count().max(1) as f64;
    let mut best: Option<(f64, &'static str, Model, Vec<f64>)> = None;
    for (name, model) in MODELS {
        let Some(foretold) = model(train) else { continue };
        let off =
            test.iter().zip(&foretold).filter_map(|(truth, told)| truth.map(|truth| (truth - told.max(0.0)).abs()));
        let error = off.sum::<f64>() / asked.max(1.0);
        if best.as_ref().is_none_or(|(least, ..)| error < *least) {
            best = Some((error, name, model, foretold));
        }
    }
    let (error, name, model, foretold) = best?;
    // How far off it was, relative to what it foretold.
    let scale = |told: f64| told.max(mean * FLOOR).max(1.0);
    let mut off: Vec<f64> = test
        .iter()
        .zip(&foretold)
        .filter_map(|(truth, told)| truth.map(|truth| (truth - told.max(0.0)).abs() / scale(*told)))
        .collect();
    off.sort_by(f64::total_cmp);
    let margin = off.get((off.len() as f64 * INTERVAL) as usize).or(off.last()).copied().unwrap_or(1.0);
    let hours = model(&known)?
        .into_iter()
        .map(|told| {
            let requests = told.max(0.0);
            let span = margin * scale(requests);
            Outlook { requests, least: (requests - span).max(0.0), most: requests + span }
        })
        .collect();
    let first = series.first + length as u64;
    Some(Forecast { model: name, error, first, hours, work_of_one: series.work_of_one })
}
