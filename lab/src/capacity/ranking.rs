//! Needs over their budgets, the worst first.
use super::figure::Figure;
use super::slopes::{at, size_at_budget, Slopes};
use super::target::Need;

/// A need that was compared.
#[derive(Debug, Clone, PartialEq)]
pub struct Compared<'a> {
    /// The need.
    pub need: &'a Need,
    /// The budget, in the unit of the value; none if it is relative to what is not measured.
    pub budget: Option<f64>,
    /// Its value at the target; none if its series is not measured.
    pub value: Option<Figure>,
    /// The size at which it reaches its budget, if it grows.
    pub breaks_at: Option<Figure>,
}

impl Compared<'_> {
    /// Need over budget; none if it is not measured.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.value.as_ref()?.value / self.budget?)
    }

    /// Whether the budget is exceeded.
    pub fn short(&self) -> bool {
        self.ratio().is_some_and(|ratio| ratio > 1.0)
    }
}

/// All needs by need over budget, the largest first; those not measured are last.
pub fn ranked<'a>(needs: &'a [Need], slopes: &Slopes) -> Vec<Compared<'a>> {
    let mut all: Vec<Compared<'a>> = needs.iter().map(|need| compare(need, slopes)).collect();
    let ratio = |compared: &Compared| compared.ratio().unwrap_or(f64::NEG_INFINITY);
    all.sort_by(|a, b| ratio(b).total_cmp(&ratio(a)));
    all
}

fn compare<'a>(need: &'a Need, slopes: &Slopes) -> Compared<'a> {
    let Some(series) = slopes.find(&need.case, &need.quantity) else {
        let budget = need.relative_to.is_none().then_some(need.budget);
        return Compared { need, budget, value: None, breaks_at: None };
    };
    let value = at(series, need.size);
    let value = if need.times == 1.0 { value } else { value.times(need.times, &need.unit) };
    let budget = need.budget * need.relative_to.map_or(1.0, |size| at(series, size).value * need.times);
    let breaks_at = size_at_budget(series, budget / need.times);
    Compared { need, budget: Some(budget), value: Some(value), breaks_at }
}
