//! Results of the experiment as JSON lines.

use {super::bodies::Bodies, crate::generator::Tally, serde::Serialize};

/// Results of a fleet of one size.
#[derive(Debug, Default, Serialize)]
pub(super) struct Stage {
    daemons: usize,
    requests_per_s: f64,
    full_p50_us: u64,
    full_p99_us: u64,
    paced_per_s: f64,
    paced_p50_us: u64,
    paced_p99_us: u64,
    direct_per_s: f64,
    direct_p50_us: u64,
    direct_p99_us: u64,
    added_p99_us: i64,
    cpu_us_per_request: f64,
    bodies_whole: u64,
    bodies_ms: u128,
    rss_mb: f64,
    refused: u64,
    unknown: u64,
    lost: u64,
    doubled: u64,
}

/// Results of the whole run.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    /// Small keyed requests per second at full speed, with the first fleet.
    requests_per_s: f64,
    /// Median latency at half of the target rate, with the first fleet.
    p50_us: u64,
    /// 99th percentile of latency at half of the target rate, with the first fleet.
    p99_us: u64,
    /// Difference to the 99th percentile of latency without a daemon.
    added_p99_us: i64,
    /// Peak resident memory of any daemon, in MB.
    rss_mb: f64,
    /// Requests and bodies without a complete, verified response.
    pub(super) lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub(super) doubled: u64,
}

impl Stage {
    /// Returns the results as seen by callers.
    pub(super) fn new(full: &Tally, paced: &Tally, direct: &Tally, bodies: &Bodies) -> Self {
        let p99 = |tally: &Tally| tally.percentile(99.0);
        Self {
            requests_per_s: full.rate().round(),
            full_p50_us: full.percentile(50.0),
            full_p99_us: p99(full),
            paced_per_s: paced.rate().round(),
            paced_p50_us: paced.percentile(50.0),
            paced_p99_us: p99(paced),
            direct_per_s: direct.rate().round(),
            direct_p50_us: direct.percentile(50.0),
            direct_p99_us: p99(direct),
            added_p99_us: p99(paced) as i64 - p99(direct) as i64,
            bodies_whole: bodies.whole,
            bodies_ms: bodies.time.as_millis(),
            refused: full.refused + paced.refused,
            unknown: full.unknown + paced.unknown,
            lost: full.lost + paced.lost + bodies.lost,
            ..Self::default()
        }
    }

    /// Adds the results from the processes and the run logs.
    pub(super) fn with_fleet(
        self,
        daemons: usize,
        cpu_us: f64,
        peak_kb: u64,
        doubled: u64,
    ) -> Self {
        let rss_mb = (peak_kb as f64 / 102.4).round() / 10.0;
        Self { daemons, cpu_us_per_request: cpu_us.round(), rss_mb, doubled, ..self }
    }

    /// Returns the results as one line of JSON.
    pub(super) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Summary {
    /// Combines the results of all fleets; rate and latency are those of the first.
    pub(super) fn new(stages: &[Stage]) -> Self {
        let first = &stages[0];
        Self {
            requests_per_s: first.requests_per_s,
            p50_us: first.paced_p50_us,
            p99_us: first.paced_p99_us,
            added_p99_us: first.added_p99_us,
            rss_mb: stages.iter().map(|stage| stage.rss_mb).fold(0.0, f64::max),
            lost: stages.iter().map(|stage| stage.lost).sum(),
            doubled: stages.iter().map(|stage| stage.doubled).sum(),
        }
    }

    /// Returns the results as one line of JSON.
    pub(super) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
