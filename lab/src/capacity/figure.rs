//! Figures of the page: each one has a unit and says where it comes from.
use std::fmt;

/// How a series goes on beyond the sizes measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Growth {
    /// By its line, with this growth for each unit of size.
    Slope(f64),
    /// By this power of the size, where a line does not describe it.
    Exponent(f64),
}

impl fmt::Display for Growth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Growth::Slope(slope) => write!(f, "slope {}", number(*slope)),
            Growth::Exponent(exponent) => write!(f, "exponent {}", number(*exponent)),
        }
    }
}

/// Where a figure comes from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mark {
    /// Measured by `trial capacity` at this very size.
    Measured,
    /// Continued beyond the sizes measured.
    Extrapolated {
        /// By which growth.
        growth: Growth,
        /// Smallest and largest size measured.
        range: (f64, f64),
        /// The size asked for over the largest (or the smallest) one measured.
        factor: f64,
    },
    /// Worked out from other figures, or between two sizes measured.
    Computed,
    /// Taken for granted; to be checked by the operators.
    Assumed,
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Mark::Measured => write!(f, "*measured*"),
            Mark::Computed => write!(f, "*computed*"),
            Mark::Assumed => write!(f, "*assumed*"),
            Mark::Extrapolated { growth, range: (from, to), factor } => write!(
                f,
                "*extrapolated* ({growth}, {} to {}, factor {})",
                number(*from),
                number(*to),
                number(*factor)
            ),
        }
    }
}

/// A value with its unit and its mark.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// Where it comes from.
    pub mark: Mark,
}

impl Figure {
    /// A figure.
    pub fn new(value: f64, unit: &str, mark: Mark) -> Self {
        Figure { value, unit: unit.to_string(), mark }
    }

    /// The figure multiplied, in another unit. What was extrapolated stays so; all else is computed then.
    pub fn times(&self, factor: f64, unit: &str) -> Self {
        let mark = match self.mark {
            extrapolated @ Mark::Extrapolated { .. } => extrapolated,
            _ => Mark::Computed,
        };
        Figure::new(self.value * factor, unit, mark)
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.unit.as_str() {
            "" => write!(f, "{} {}", number(self.value), self.mark),
            unit => write!(f, "{} {unit} {}", number(self.value), self.mark),
        }
    }
}

/// A number with three significant digits, and with commas from 1,000 on.
pub fn number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let step = 10f64.powi(magnitude - 2);
    let rounded = (value / step).round() * step;
    if rounded.abs() >= 1000.0 {
        return with_commas(rounded.round() as i64);
    }
    let decimals = usize::try_from(2 - magnitude).unwrap_or(0);
    let text = format!("{rounded:.decimals$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

fn with_commas(value: i64) -> String {
    let digits = value.unsigned_abs().to_string();
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0 {
        text.insert(0, '-');
    }
    text
}
