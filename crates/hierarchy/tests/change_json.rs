//! Tests of the JSON form of changes, which operator files and the ensemble store, and of the texts of edits and
//! errors.
use larchway_hierarchy::change_log::Change;
use larchway_hierarchy::topology::{Edit, EditError, Parent, Upstream};

const CHANGE: &str = concat!(
    r#"{"id":"c1","upon":3,"edits":["#,
    r#"{"add_parent":{"name":"p1","parent":{"hub":"west","weight":4.0,"upstream":"origin"}}},"#,
    r#"{"remove_parent":{"name":"p2"}},"#,
    r#"{"set_upstream":{"name":"p1","upstream":{"parent":"p0"}}},"#,
    r#"{"set_weight":{"name":"p1","weight":2.5}},"#,
    r#"{"set_branch":{"branch":"edge","parents":["p0","p1"]}},"#,
    r#"{"remove_branch":{"branch":"old"}}]}"#,
);

fn change() -> Change {
    let parent = Parent { hub: "west".into(), weight: 4.0, upstream: Upstream::Origin };
    let edits = vec![
        Edit::AddParent { name: "p1".into(), parent },
        Edit::RemoveParent { name: "p2".into() },
        Edit::SetUpstream { name: "p1".into(), upstream: Upstream::Parent("p0".into()) },
        Edit::SetWeight { name: "p1".into(), weight: 2.5 },
        Edit::SetBranch { branch: "edge".into(), parents: ["p0".into(), "p1".into()].into() },
        Edit::RemoveBranch { branch: "old".into() },
    ];
    Change { id: "c1".into(), upon: 3, edits }
}

#[test]
fn a_change_is_stored_under_its_documented_keys() {
    assert_eq!(serde_json::to_string(&change()).expect("JSON"), CHANGE);
    assert_eq!(serde_json::from_str::<Change>(CHANGE).expect("a change"), change());
    let unknown = CHANGE.replace(r#""upon""#, r#""base":1,"upon""#);
    assert!(serde_json::from_str::<Change>(&unknown).is_err());
}

#[test]
fn edits_and_errors_have_their_documented_texts() {
    let edits: Vec<String> = change().edits.iter().map(ToString::to_string).collect();
    let expected = [
        "add_parent p1",
        "remove_parent p2",
        "set_upstream p1",
        "set_weight p1",
        "set_branch edge",
        "remove_branch old",
    ];
    assert_eq!(edits, expected);
    let errors = [
        (EditError::UnknownParent("p".into()), r#"there is no parent "p""#),
        (EditError::UnknownBranch("b".into()), r#"there is no branch "b""#),
        (EditError::DuplicateParent("p".into()), r#"parent "p" already exists"#),
        (EditError::InvalidWeight("p".into()), r#"the weight of "p" is not a positive finite number"#),
        (EditError::BranchWithoutParent("b".into()), r#"the branch "b" would have no parent"#),
        (EditError::ParentInUse { parent: "p".into(), by: "q".into() }, r#""q" still fetches from "p""#),
        (EditError::Cycle(vec!["p".into(), "q".into(), "p".into()]), "a cycle: p -> q -> p"),
        (EditError::ChainTooLong("p".into()), r#"the path from "p" to the origin has more than 8 parents"#),
        (EditError::LimitReached, "more than 4096 parents or 65536 branches"),
    ];
    for (error, text) in errors {
        assert_eq!(error.to_string(), text);
    }
}
