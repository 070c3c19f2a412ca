use super::*;

#[test]
fn a_panic_is_reported_as_a_bug_under_the_name_of_its_instance() {
    let cause = catch_unwind(|| panic!("index {}\nout of range", 3)).expect_err("panics");
    let mut out = Vec::new();
    write_actions(&mut out, "router-4", &[], Some(panic_message(cause.as_ref()))).expect("writes");
    assert_eq!(out, b"AS who=router-4\nBUG noteText=index 3 out of range\n");
}
