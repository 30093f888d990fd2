//! The group of tables that a statement reads or writes: the number behind the underscore in its schema's
//! name. This is no SQL parser: it knows where names can't be (strings, comments) and where tables are named.

/// What a statement is made of, as far as schemas matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token<'a> {
    /// A name or a keyword, without quotes.
    Word(&'a [u8]),
    /// A string or a number.
    Literal,
    /// Any other byte.
    Other(u8),
}

/// Splits a statement into tokens; comments and white space are left out.
pub fn tokens(sql: &[u8]) -> impl Iterator<Item = Token<'_>> {
    let mut rest = sql;
    std::iter::from_fn(move || loop {
        rest = rest.trim_ascii_start();
        let &first = rest.first()?;
        let (size, token) = match first {
            b'-' if rest.starts_with(b"--") => {
                (memchr::memchr(b'\n', rest).unwrap_or(rest.len()), None)
            }
            b'/' if rest.starts_with(b"/*") => (comment(rest), None),
            b'\'' => (
                1 + quoted(rest.get(1..)?, b'\'', false),
                Some(Token::Literal),
            ),
            b'"' => {
                let size = 1 + quoted(rest.get(1..)?, b'"', false);
                (
                    size,
                    Some(Token::Word(
                        rest.get(1..size.max(2) - 1).unwrap_or_default(),
                    )),
                )
            }
            // E'...' is the one form of string in which a backslash escapes a quote.
            b'e' | b'E' if rest.get(1) == Some(&b'\'') => (
                2 + quoted(rest.get(2..)?, b'\'', true),
                Some(Token::Literal),
            ),
            b'$' => match dollar(rest) {
                Some(size) => (size, Some(Token::Literal)),
                None => (1, Some(Token::Other(b'$'))),
            },
            b'0'..=b'9' => (
                run(rest, |b| b.is_ascii_alphanumeric() || b == b'.'),
                Some(Token::Literal),
            ),
            b if is_name(b) => {
                let size = run(rest, |b| is_name(b) || b.is_ascii_digit() || b == b'$');
                (size, Some(Token::Word(rest.get(..size)?)))
            }
            b => (1, Some(Token::Other(b))),
        };
        rest = rest.get(size..).unwrap_or_default();
        if token.is_some() {
            return token;
        }
    })
}

fn is_name(b: u8) -> bool {
    b.is_ascii_alphabetic() || b == b'_' || b >= 0x80
}

fn run(bytes: &[u8], of: impl Fn(u8) -> bool) -> usize {
    bytes.iter().position(|b| !of(*b)).unwrap_or(bytes.len())
}

/// Length of a comment; they nest. One without its end takes the rest.
fn comment(bytes: &[u8]) -> usize {
    let (mut at, mut depth) = (2, 1);
    while depth > 0 {
        match bytes.get(at..at + 2) {
            Some(b"*/") => (at, depth) = (at + 2, depth - 1),
            Some(b"/*") => (at, depth) = (at + 2, depth + 1),
            Some(_) => at += 1,
            None => return bytes.len(),
        }
    }
    at
}

/// Length of the rest of a quoted text with its closing quote; a doubled quote does not close it.
fn quoted(bytes: &[u8], quote: u8, escapes: bool) -> usize {
    let mut at = 0;
    while let Some(&b) = bytes.get(at) {
        at += match b {
            b'\\' if escapes => 2,
            b if b == quote && bytes.get(at + 1) == Some(&quote) => 2,
            b if b == quote => return at + 1,
            _ => 1,
        };
    }
    bytes.len()
}

/// Length of a dollar-quoted string, if one begins here.
fn dollar(bytes: &[u8]) -> Option<usize> {
    let tag = 1 + run(bytes.get(1..)?, |b| is_name(b) || b.is_ascii_digit());
    let open = bytes
        .get(..=tag)
        .filter(|t| t.ends_with(b"$") && !t.get(1).is_some_and(u8::is_ascii_digit))?;
    let body = bytes.get(tag + 1..)?;
    Some(memchr::memmem::find(body, open).map_or(bytes.len(), |end| 2 * (tag + 1) + end))
}

/// The group that a statement's schema names. A name where tables are named counts before one elsewhere,
/// which may be an alias with its column.
#[must_use]
pub fn group(statement: &[u8]) -> Option<u64> {
    let tokens: Vec<Token<'_>> = tokens(statement).collect();
    let (mut place, mut elsewhere, mut at) = (false, None, 0);
    while let Some(&token) = tokens.get(at) {
        at += 1;
        let Token::Word(mut schema) = token else {
            // A list of tables goes on; anything else ends the place where tables are named.
            place = place && matches!(token, Token::Other(b',' | b'('));
            continue;
        };
        if is_place(schema) {
            place = true;
            continue;
        }
        // Of `database.schema.table` the schema is the last but one.
        let mut name = None;
        while let (Some(Token::Other(b'.')), Some(&Token::Word(next))) =
            (tokens.get(at), tokens.get(at + 1))
        {
            schema = name.replace(next).unwrap_or(schema);
            at += 2;
        }
        let found = name.and(number(schema));
        if place && found.is_some() {
            return found;
        }
        elsewhere = elsewhere.or(found);
        // An alias may stand between a table and the comma of a list.
        place = place && !is_clause(schema);
    }
    elsewhere
}

fn is_place(word: &[u8]) -> bool {
    [
        &b"from"[..],
        b"join",
        b"into",
        b"update",
        b"table",
        b"only",
        b"copy",
        b"using",
    ]
    .iter()
    .any(|k| word.eq_ignore_ascii_case(k))
}

fn is_clause(word: &[u8]) -> bool {
    [
        &b"where"[..],
        b"set",
        b"select",
        b"values",
        b"on",
        b"group",
        b"order",
        b"limit",
        b"having",
        b"returning",
    ]
    .iter()
    .any(|k| word.eq_ignore_ascii_case(k))
}

fn number(schema: &[u8]) -> Option<u64> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let digits = schema.get(memchr::memrchr(b'_', schema)? + 1..)?;
    std::str::from_utf8(digits)
        .ok()
        .filter(|d| d.bytes().all(|b| b.is_ascii_digit()))?
        .parse()
        .ok()
}

#[cfg(test)]
mod tests {
    use super::group;

    #[test]
    fn the_schema_of_the_tables_gives_the_group() {
        for (statement, expected) in [
            ("SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", Some(17)),
            ("SELECT 'from sales_3.orders' FROM sales_4.orders", Some(4)),
            ("SELECT /* from sales_3.x /* nested */ sales_5.y */ a FROM b_4.orders -- sales_6.z\n", Some(4)),
            ("INSERT INTO sales_9.orders SELECT * FROM staging.batch_12", Some(9)),
            ("COPY staging.b_1 FROM 'x'; INSERT INTO sales_2.o SELECT 1", Some(2)),
            ("SELECT o_1.day FROM staging.orders o_1, sales_8.days", Some(8)),
            ("SELECT E'it\\'s from a_1.b', $x$ from a_2.b $x$ FROM \"Sales_7\".orders", Some(7)),
            ("UPDATE analytics.sales_11.orders SET a = 1", Some(11)),
            ("SELECT 'it''s FROM a_1.b' FROM plain", None),
            ("SELECT 1.5 FROM", None),
        ] {
            assert_eq!(group(statement.as_bytes()), expected, "{statement}");
        }
    }
}
