//! Tests that find the table group of statements.

use super::table_group;

#[test]
fn schema_of_the_named_tables_gives_the_group() {
    for (statement, expected) in [
        (
            "SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
            Some(17),
        ),
        ("SELECT 'from sales_3.orders' FROM sales_4.orders", Some(4)),
        (
            "SELECT /* from sales_3.x /* nested */ sales_5.y */ a FROM b_4.orders -- sales_6.z\n",
            Some(4),
        ),
        (
            "INSERT INTO sales_9.orders SELECT * FROM staging.batch_12",
            Some(9),
        ),
        (
            "COPY staging.b_1 FROM 'x'; INSERT INTO sales_2.o SELECT 1",
            Some(2),
        ),
        (
            "SELECT o_1.day FROM staging.orders o_1, sales_8.days",
            Some(8),
        ),
        (
            "SELECT E'it\\'s from a_1.b', $x$ from a_2.b $x$ FROM \"Sales_7\".orders",
            Some(7),
        ),
        ("UPDATE analytics.sales_11.orders SET a = 1", Some(11)),
        ("SELECT 'it''s FROM a_1.b' FROM plain", None),
        ("SELECT 1.5 FROM", None),
    ] {
        assert_eq!(table_group(statement.as_bytes()), expected, "{statement}");
    }
}
