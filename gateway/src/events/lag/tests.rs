use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn purges_may_be_missed_until_the_lag_is_within_its_limit_again() {
    let mut watch = LagWatch::new(SECOND, SECOND);
    assert_eq!(watch.look(SECOND, None), Verdict::StillExceeded, "nothing was heard yet");
    assert_eq!(watch.look(SECOND + 1, None), Verdict::Nothing);
    assert_eq!(watch.look(2 * SECOND, Some(SECOND / 4)), Verdict::Recovered);
    assert_eq!(watch.next_due(), 2 * SECOND + 3 * SECOND / 4 + 1);
    assert_eq!(watch.look(watch.next_due() - 1, Some(SECOND)), Verdict::Nothing);
    let late = watch.next_due();
    assert_eq!(watch.look(late, Some(SECOND + 1)), Verdict::Exceeded);
    assert!(watch.exceeded());
    assert_eq!(watch.look(late + REPEAT - 1, Some(2 * SECOND)), Verdict::Nothing);
    assert_eq!(watch.look(late + REPEAT, Some(2 * SECOND)), Verdict::StillExceeded);
    assert_eq!(watch.look(late + REPEAT + 1, Some(0)), Verdict::Recovered);
}
