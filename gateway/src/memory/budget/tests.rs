use super::*;
use proptest::prelude::*;

const LIMIT: usize = 32_000_000;

fn usual() -> MemoryUse {
    MemoryUse {
        private: 6_000_000,
        occupied_pages: 0,
        spare_pages: 0,
        copies_to_come: 0,
        other_processes: 0,
        process_count: 1,
        succession: Succession::Possible,
    }
}

#[test]
fn what_is_kept_by_the_heap_is_not_divided() {
    let shares = MemoryShares::divide(LIMIT, &usual());
    let kept = MemoryShares::divide(LIMIT, &MemoryUse { private: 14_000_000, ..usual() });
    assert_eq!(shares.pages - kept.pages, 8_000_000);
    assert!(kept.clients < shares.clients && kept.stores < shares.stores && !kept.is_short);
}

#[test]
fn a_process_with_too_much_memory_has_the_least_and_is_short() {
    let shares = MemoryShares::divide(LIMIT, &MemoryUse { private: LIMIT + 1, ..usual() });
    assert!(shares.is_short);
    assert!(shares.clients > 0 && shares.clients + shares.short_replies + shares.stores <= LIMIT / 32);
}

#[test]
fn processes_take_equal_parts_of_what_is_free() {
    let one = MemoryUse { private: 10_000_000, other_processes: 6_000_000, process_count: 2, ..usual() };
    let other = MemoryUse { private: 6_000_000, other_processes: 10_000_000, process_count: 2, ..usual() };
    let parts = [one, other].map(|used| MemoryShares::divide(LIMIT, &used));
    assert_eq!(parts[0].clients, parts[1].clients);
    let free = LIMIT - 16_000_000 - LIMIT / MARGIN_DIVISOR;
    let sums = parts.map(|part| part.clients + part.short_replies + part.stores);
    assert!(sums.iter().sum::<usize>() <= free, "{sums:?} of {free}");
}

proptest! {
    /// If the buffers grow up to their shares, the private memory of all processes stays within the limit.
    #[test]
    fn shares_fit_beside_all_other_memory(
        limit in 32_000_000_usize..2_000_000_000,
        heap_percent in 0_usize..100,
        occupied_percent in 0_usize..100,
        others_percent in 0_usize..50,
        process_count in 1_usize..4,
    ) {
        let heap = limit / 200 * heap_percent;
        let occupied_pages = (limit - heap) / 200 * occupied_percent;
        let other_processes = if process_count > 1 { limit / 200 * others_percent } else { 0 };
        let used = MemoryUse {
            private: heap + occupied_pages,
            occupied_pages,
            other_processes,
            process_count,
            ..usual()
        };
        let shares = MemoryShares::divide(limit, &used);
        let buffers = shares.clients + shares.short_replies + shares.stores;
        let least = limit / process_count / LEAST_BUFFERS_DIVISOR;
        prop_assert!(buffers <= least || heap + buffers + other_processes <= limit);
        prop_assert!(buffers > 0);
    }
}
