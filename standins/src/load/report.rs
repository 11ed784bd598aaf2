//! What a load run saw.

use std::{collections::BTreeMap, time::Duration};

use {hdrhistogram::Histogram, serde::Serialize};

use super::{CallEnd, CallOutcome};

/// Largest latency that is told apart, in microseconds.
const LARGEST_LATENCY_US: u64 = 600_000_000;

/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Percentiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencySummary {
    /// The number of values.
    pub count: u64,
    /// Half of the values are at most this.
    pub p50_ms: f64,
    /// 95 in 100 values are at most this.
    pub p95_ms: f64,
    /// 99 in 100 values are at most this.
    pub p99_ms: f64,
    /// The largest value.
    pub max_ms: f64,
}

/// The report of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests that were sent.
    pub requests: u64,
    /// Requests with a whole and right answer.
    pub answered: u64,
    /// Whole answers to something else.
    pub wrong_answers: u64,
    /// Answers that broke off or never came.
    pub broken: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Refusals that name a time to come back.
    pub refused_with_retry: u64,
    /// Total tokens of the answers.
    pub tokens: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Answered requests a second.
    pub requests_per_s: f64,
    /// Total tokens a second.
    pub tokens_per_s: f64,
    /// Time to the first token.
    pub first_token: LatencySummary,
    /// Time between two tokens.
    pub token_gap: LatencySummary,
    /// Time to the end of the answer.
    pub total: LatencySummary,
}

/// Collects outcomes.
pub(super) struct OutcomeLog {
    report: LoadReport,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    total: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, LARGEST_LATENCY_US, LATENCY_DIGITS)
        .expect("valid bounds")
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    LatencySummary {
        count: histogram.len(),
        p50_ms: ms(0.5),
        p95_ms: ms(0.95),
        p99_ms: ms(0.99),
        max_ms: histogram.max() as f64 / 1e3,
    }
}

impl OutcomeLog {
    /// Creates an empty log.
    pub(super) fn new() -> OutcomeLog {
        OutcomeLog {
            report: LoadReport {
                requests: 0,
                answered: 0,
                wrong_answers: 0,
                broken: 0,
                refused: BTreeMap::new(),
                refused_with_retry: 0,
                tokens: 0,
                seconds: 0.0,
                requests_per_s: 0.0,
                tokens_per_s: 0.0,
                first_token: LatencySummary::default(),
                token_gap: LatencySummary::default(),
                total: LatencySummary::default(),
            },
            first_token: histogram(),
            token_gap: histogram(),
            total: histogram(),
        }
    }

    /// Adds an outcome.
    pub(super) fn note(&mut self, outcome: &CallOutcome) {
        let report = &mut self.report;
        report.requests += 1;
        match &outcome.end {
            CallEnd::Answered => {
                report.answered += 1;
                report.tokens += outcome.tokens;
                note(&mut self.total, outcome.total);
                if let Some(time) = outcome.first_token {
                    note(&mut self.first_token, time);
                }
                for gap in &outcome.gaps {
                    note(&mut self.token_gap, *gap);
                }
            }
            CallEnd::WrongAnswer => report.wrong_answers += 1,
            CallEnd::Broken => report.broken += 1,
            CallEnd::Refused { kind, retry_after_s, .. } => {
                *report.refused.entry(kind.clone()).or_default() += 1;
                report.refused_with_retry +=
                    u64::from(retry_after_s.is_some());
            }
        }
    }

    /// Finishes the report of a run of this duration.
    pub(super) fn finish(self, time: Duration) -> LoadReport {
        let mut report = self.report;
        report.seconds = time.as_secs_f64();
        report.requests_per_s = report.answered as f64 / report.seconds;
        report.tokens_per_s = report.tokens as f64 / report.seconds;
        report.first_token = summary(&self.first_token);
        report.token_gap = summary(&self.token_gap);
        report.total = summary(&self.total);
        report
    }
}
