//! Spans of the script in which nothing changes, and how evenly the load is spread over the stores in them.
use serde_json::{json, Value};

/// A store under this share of the mean load is idle.
const IDLE_SHARE: f64 = 0.3;
/// A mean load that is not 0.
const LEAST_MEAN: f64 = 1e-9;

/// The load of all stores in a span.
#[derive(Debug, Clone)]
pub struct Span {
    /// What it is.
    pub name: &'static str,
    /// Each store's load over what it can do.
    pub loads: Vec<f64>,
}

impl Span {
    fn mean(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64
    }

    /// The largest load over the mean.
    pub fn max_over_mean(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max) / self.mean().max(LEAST_MEAN)
    }

    /// Stores that are idle: under 0.3 of the mean.
    pub fn idle(&self) -> usize {
        self.loads.iter().filter(|load| **load < IDLE_SHARE * self.mean()).count()
    }

    /// The standard deviation over the mean.
    pub(super) fn variation(&self) -> f64 {
        let mean = self.mean();
        let squares = self.loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>();
        (squares / self.loads.len().max(1) as f64).sqrt() / mean.max(LEAST_MEAN)
    }

    /// Its figures, without its name.
    pub(super) fn json(&self) -> Value {
        json!({ "max_over_mean": self.max_over_mean(), "variation": self.variation(), "idle": self.idle() })
    }

    /// Its figures, with its name and the load of each store.
    pub(super) fn json_with_loads(&self) -> Value {
        let mut figures = self.json();
        figures["span"] = json!(self.name);
        figures["loads"] = json!(self.loads);
        figures
    }
}
