//! A cold box before many real gateways, half of them killed and started again while it warms (`docs/design/rare-moments.md`);
//! in full by `larchway-lab trial cold`.
use larchway_lab::trial::cold::{run, Scenario};

#[test]
fn twenty_and_thirty_gateways_half_of_them_restarted_send_a_cold_box_no_more_than_its_budget_and_chance() {
    std::env::set_var("LARCHWAY_LAB", env!("CARGO_BIN_EXE_larchway-lab"));
    for gateways in [20, 30] {
        let scenario = Scenario::half_restarted(gateways, 5);
        let figures = run(&format!("test{gateways}"), &scenario).expect("plays");
        assert!(figures.requests > 20, "it is asked: {figures:?}");
        let worst = figures.worst;
        assert!(figures.within_budget(), "{figures:?} is over {:.1}", worst.bound());
    }
}
