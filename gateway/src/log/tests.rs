use super::*;

#[test]
fn a_noisy_place_is_limited_and_tells_what_it_left_out() {
    let limit = Limit::new();
    let written = (0..20).filter(|_| limit.admit(7).is_some()).count();
    assert_eq!(written as u64, LINES);
    assert_eq!(limit.admit(8), Some(20 - LINES));
    assert_eq!(limit.admit(8), Some(0));
}
