use super::*;

#[test]
fn answers_queue_on_the_link_until_one_would_wait_too_long() {
    // 10 bytes a ms in all, 1 of one transfer: of 100 bytes each, one takes 100 ms and the link 10.
    let mut link = Uplink::new((1_000.0, 10_000.0));
    let takes = |link: &mut Uplink, now, same| link.takes(now, 100, same, 20_000, 1_000_000);
    // The link is the bound only from the eleventh on.
    let taken = (0..40).take_while(|_| takes(&mut link, 0, false)).count();
    assert_eq!(taken, 12);
    assert!(!takes(&mut link, 60_000, true), "a word is short, but the queue before it is not");
    assert!(takes(&mut link, 60_000, false), "a long transfer has time while the queue ends");
    assert!(takes(&mut link, 111_000, true));
}

#[test]
fn an_answer_that_would_be_through_too_late_is_left_to_others() {
    let mut link = Uplink::new((1_000.0, 10_000.0));
    assert!(!link.takes(0, 100, false, 20_000, 99_000) && link.takes(0, 100, false, 20_000, 100_000));
    let mut unbound = Uplink::new((0.0, 0.0));
    assert!((0..1000).all(|_| unbound.takes(0, 100_000, false, 0, 1)));
}
