//! Seeded random numbers: the same seed gives the same sequence on every machine.
use larchway::mix;

/// 2^64 divided by the golden ratio: spreads consecutive counts over all 64 bits.
const COUNT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A generator of random numbers.
#[derive(Debug)]
pub(super) struct Random {
    seed: u64,
    draw_count: u64,
}

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Random { seed, draw_count: 0 }
    }

    /// A number from 0 to `bound`, exclusive; 0 if `bound` is 0.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        self.draw_count += 1;
        let number = mix(mix(self.seed) ^ self.draw_count.wrapping_mul(COUNT_MULTIPLIER));
        (number % bound.max(1) as u64) as usize
    }

    /// Moves `number` randomly chosen elements, in random order, to the front.
    pub(super) fn shuffle_front<T>(&mut self, elements: &mut [T], number: usize) {
        for index in 0..number.min(elements.len()) {
            let other = index + self.below(elements.len() - index);
            elements.swap(index, other);
        }
    }

    /// Shuffles all elements.
    pub(super) fn shuffle<T>(&mut self, elements: &mut [T]) {
        for index in (1..elements.len()).rev() {
            let other = self.below(index + 1);
            elements.swap(index, other);
        }
    }
}
