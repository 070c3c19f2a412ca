//! What the envelope between gateways holds of load: what a gateway makes of the load of the stores of a list, in their order.

/// Most bytes: what the envelope between gateways holds.
pub const LONGEST: usize = larchway_fleet::wire::BODY;
const HEAD: usize = 12;
/// Stores that one datagram tells of.
pub const ENTRIES: usize = (LONGEST - HEAD) / 4;
const MARK: [u8; 3] = [b'l', b's', 1];
/// Steps of a load and of a worth.
const LOAD: f64 = 1.0 / 1024.0;
const WORTH: f64 = 1.0 / 64.0;

/// What is made of a store's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Told {
    /// Its load.
    pub load: f64,
    /// Reports that this is worth when it is sent.
    pub worth: f64,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The zone of the stores.
    pub zone: u8,
    /// Names the list that the places are of.
    pub list: u32,
    /// The place of the first store told of.
    pub first: u16,
    /// Stores from there on, [`ENTRIES`] at most.
    pub told: Vec<Told>,
}

impl Summary {
    /// Its bytes: mark, version, zone, list, first, number, then load and worth of each; big end first.
    pub fn write(&self) -> Vec<u8> {
        let mut out = MARK.to_vec();
        out.push(self.zone);
        out.extend_from_slice(&self.list.to_be_bytes());
        out.extend_from_slice(&self.first.to_be_bytes());
        let told = &self.told[..self.told.len().min(ENTRIES)];
        out.extend_from_slice(&(told.len() as u16).to_be_bytes());
        for one in told {
            for (value, step) in [(one.load, LOAD), (one.worth, WORTH)] {
                out.extend_from_slice(&((value / step).round().clamp(0.0, 65_535.0) as u16).to_be_bytes());
            }
        }
        out
    }

    /// Reads one; none if it is anything else, in whole or in part.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let number = |at: usize| Some(u16::from_be_bytes([*bytes.get(at)?, *bytes.get(at + 1)?]));
        let list = u32::from(number(4)?) << 16 | u32::from(number(6)?);
        let (first, n) = (number(8)?, usize::from(number(10)?));
        if bytes[..3] != MARK || bytes.len() != HEAD + 4 * n || n > ENTRIES {
            return None;
        }
        let one = |i: usize| {
            let (load, worth) = (number(HEAD + 4 * i)?, number(HEAD + 4 * i + 2)?);
            Some(Told { load: f64::from(load) * LOAD, worth: f64::from(worth) * WORTH })
        };
        let told = (0..n).map(one).collect::<Option<_>>()?;
        Some(Summary { zone: bytes[3], list, first, told })
    }
}

#[cfg(test)]
mod tests;
