//! Tests of the JSON codec of the simulator: errors name the malformed field, and unusual but legal
//! lines are accepted.

use violetgate_policy::wire::Adapter;

const BOOT: &str = r#"{"clock":1,"events":[{"cmd":"boot","gateway":3,"salt":5,"settings":{"novel":[1],"classes":[{"deadline":6}],"kinds":["k"],"domain":{"size-cores":[4]}}},{"cmd":"ledger","slot":0,"lines":[{"node":"10.0.0.1:9","state":"in_service"}]},{"cmd":"discovery","gateway":3,"slot":0,"serial":1,"how":"stale_copy"}]}"#;

const ASK: &str = r#"{"clock":2,"events":[{"cmd":"ask","gateway":3,"rid":"00000000000000ab","band":0,"remaining":6}]}"#;

#[test]
fn a_query_is_sent_under_its_own_id() {
    let mut a = Adapter::new();
    a.line(BOOT).expect("the line should be accepted");
    let reply = a.line(ASK).expect("the line should be accepted");
    assert!(
        reply.contains(
            r#""cmd":"hand-off","gateway":3,"rid":"00000000000000ab","node":"10.0.0.1:9""#
        ),
        "{reply}"
    );
}

#[test]
fn malformed_lines_name_the_field() {
    for (line, field) in [
        ("{", "EOF"),
        (r#"{"clock":"x","events":[]}"#, "clock"),
        (r#"{"events":[]}"#, "clock"),
        (
            r#"{"clock":2,"events":[{"cmd":"ask","gateway":3,"band":0,"remaining":6}]}"#,
            "rid",
        ),
        (
            r#"{"clock":2,"events":[{"cmd":"ask","gateway":3,"rid":"xyz","band":0,"remaining":6}]}"#,
            "rid",
        ),
        (
            r#"{"clock":2,"events":[{"cmd":"ask","gateway":3,"rid":"00000000000000ab","band":-1}]}"#,
            "events[0].band",
        ),
        (
            r#"{"clock":2,"events":[{"cmd":"discovery","gateway":3,"slot":7,"how":"whole"}]}"#,
            "slot",
        ),
        (
            r#"{"clock":2,"events":[{"cmd":"dance","gateway":3}]}"#,
            "cmd",
        ),
    ] {
        let mut a = Adapter::new();
        a.line(BOOT).expect("the line should be accepted");
        let error = a.line(line).expect_err(line).to_string();
        assert!(error.contains(field), "{line}: {error}");
    }
}

#[test]
fn a_restart_within_a_batch_forgets_everything() {
    let mut a = Adapter::new();
    a.line(BOOT).expect("the line should be accepted");
    a.line(ASK).expect("the line should be accepted");
    let again = BOOT.replacen(
        r#""events":["#,
        r#""events":[{"cmd":"shutdown","gateway":3},"#,
        1,
    );
    a.line(&again).expect("the line should be accepted");
    let late = r#"{"clock":3,"events":[{"cmd":"completed","gateway":3,"rid":"00000000000000ab","node":"10.0.0.1:9","round-no":0,"status":"errored"}]}"#;
    assert_eq!(
        a.line(late)
            .expect("the line should be accepted")
            .matches("rid")
            .count(),
        0
    );
    assert!(a
        .line(r#"{"clock":3,"events":[]}"#)
        .expect("the line should be accepted")
        .contains("[]"));
}

/// The list of values in a load report may be short or missing, or hold values that are not
/// fractions. The settings may name unknown fields.
#[test]
fn odd_load_reports_are_accepted() {
    let boot = BOOT.replacen(
        r#""kinds":["k"]"#,
        r#""kinds":["k"],"feedback":{"via":"answers","fields":["backlog","utilization","x1","novel"]}"#,
        1,
    );
    for values in ["[]", "[3]", "[0,-1,7]", "[0,0.5,1e300,2,9]", "null"] {
        let mut a = Adapter::new();
        a.line(&boot).expect("the line should be accepted");
        a.line(ASK).expect("the line should be accepted");
        let end = r#"{"clock":3,"events":[{"cmd":"completed","gateway":3,"rid":"00000000000000ab","node":"10.0.0.1:9","round-no":0,"status":"completed","settled":true,"metrics":ROW}]}"#;
        a.line(&end.replace("ROW", values)).expect(values);
        let again = ASK.replace("ab\"", "ac\"");
        assert!(
            a.line(&again)
                .expect("the line should be accepted")
                .contains("hand-off"),
            "after {values}"
        );
    }
}
