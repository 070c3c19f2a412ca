//! How long a stand-in store works on a request.
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The time that one request takes.
#[derive(Debug, Clone, Copy)]
pub enum ServiceTime {
    /// The same for all.
    Equal(Duration),
    /// Drawn once for each object, as sizes of objects are: a log-normal distribution.
    Spread {
        /// Its mean.
        mean: Duration,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// The time for a request of an object.
    pub fn of(&self, object: u64) -> Duration {
        match *self {
            ServiceTime::Equal(time) => time,
            ServiceTime::Spread { mean, sigma } => {
                let location = mean.as_secs_f64().ln() - sigma * sigma / 2.0;
                let mut random = Pcg64Mcg::seed_from_u64(object);
                let drawn = LogNormal::new(location, sigma).map(|times| times.sample(&mut random));
                drawn.map_or(mean, Duration::from_secs_f64)
            }
        }
    }

    /// The mean of many objects.
    pub fn mean(&self) -> Duration {
        match *self {
            ServiceTime::Equal(time) => time,
            ServiceTime::Spread { mean, .. } => mean,
        }
    }
}
