//! Finds the table group of a statement: the number after the last underscore in the name of the
//! schema that it reads or writes. A bulk load locks its table group, so the decisions keep bulk
//! loads and the queries that would wait for them on different engines if they have the same group.
//!
//! This is not a SQL parser. It only skips strings and comments, and recognises the keywords after
//! which a statement names tables.

/// A lexical element of a statement, as far as it matters for finding schemas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token<'a> {
    /// A name or a keyword; a quoted name is given without its quotes.
    Word(&'a [u8]),
    /// A string or a number.
    Literal,
    /// Any other byte.
    Other(u8),
}

/// Splits a statement into tokens, and skips comments and white space.
pub fn tokens(sql: &[u8]) -> impl Iterator<Item = Token<'_>> {
    let mut rest = sql;
    std::iter::from_fn(move || loop {
        rest = rest.trim_ascii_start();
        let (size, token) = first_token(rest)?;
        rest = rest.get(size..).unwrap_or_default();
        if token.is_some() {
            return token;
        }
    })
}

/// Returns the size in bytes of the first token or comment, and the token (`None` for a comment).
/// Returns `None` at the end of the text.
fn first_token(text: &[u8]) -> Option<(usize, Option<Token<'_>>)> {
    let literal = Some(Token::Literal);
    let first = *text.first()?;
    Some(match first {
        b'-' if text.starts_with(b"--") => (line_comment_size(text), None),
        b'/' if text.starts_with(b"/*") => (comment_size(text), None),
        b'\'' => (
            1 + quoted_size(text.get(1..)?, b'\'', Escapes::None),
            literal,
        ),
        b'"' => {
            let size = 1 + quoted_size(text.get(1..)?, b'"', Escapes::None);
            let name = text.get(1..size.max(2) - 1).unwrap_or_default();
            (size, Some(Token::Word(name)))
        }
        // E'...' is the only form of string in which a backslash escapes a quote.
        b'e' | b'E' if text.get(1) == Some(&b'\'') => {
            let size = 2 + quoted_size(text.get(2..)?, b'\'', Escapes::Backslash);
            (size, literal)
        }
        b'$' => match dollar_quoted_size(text) {
            Some(size) => (size, literal),
            None => (1, Some(Token::Other(b'$'))),
        },
        b'0'..=b'9' => (
            run_length(text, |b| b.is_ascii_alphanumeric() || b == b'.'),
            literal,
        ),
        byte if starts_name(byte) => {
            let size = run_length(text, |b| starts_name(b) || b.is_ascii_digit() || b == b'$');
            (size, Some(Token::Word(text.get(..size)?)))
        }
        byte => (1, Some(Token::Other(byte))),
    })
}

fn starts_name(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

/// Returns the number of bytes at the start of `bytes` that match.
fn run_length(bytes: &[u8], matches: impl Fn(u8) -> bool) -> usize {
    let end = bytes.iter().position(|byte| !matches(*byte));
    end.unwrap_or(bytes.len())
}

/// Returns the size of a `--` comment, which ends before the next line break.
fn line_comment_size(bytes: &[u8]) -> usize {
    memchr::memchr(b'\n', bytes).unwrap_or(bytes.len())
}

/// Returns the size of a `/* */` comment, including nested ones. A comment that is not closed
/// extends to the end of the text.
fn comment_size(bytes: &[u8]) -> usize {
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

/// How a quote can be escaped, apart from doubling it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Escapes {
    None,
    Backslash,
}

/// Returns the size of the rest of a quoted text, including its closing quote. A doubled quote does
/// not close the text. A text that is not closed extends to the end of the statement.
fn quoted_size(bytes: &[u8], quote: u8, escapes: Escapes) -> usize {
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        at += match byte {
            b'\\' if escapes == Escapes::Backslash => 2,
            byte if byte == quote && bytes.get(at + 1) == Some(&quote) => 2,
            byte if byte == quote => return at + 1,
            _ => 1,
        };
    }
    bytes.len()
}

/// Returns the size of the dollar-quoted string at the start of `bytes`, or `None` if there is no
/// such string. A string that is not closed extends to the end of the statement.
fn dollar_quoted_size(bytes: &[u8]) -> Option<usize> {
    let tag_end = 1 + run_length(bytes.get(1..)?, |b| starts_name(b) || b.is_ascii_digit());
    let opening = bytes
        .get(..=tag_end)
        .filter(|tag| tag.ends_with(b"$") && !tag.get(1).is_some_and(u8::is_ascii_digit))?;
    let body = bytes.get(tag_end + 1..)?;
    let closing = memchr::memmem::find(body, opening);
    Some(closing.map_or(bytes.len(), |at| 2 * opening.len() + at))
}

/// Returns the table group of a statement. A schema in a list of tables, which follows a keyword
/// such as FROM, takes precedence over a qualified name elsewhere: that name may be a column with
/// its table's alias.
#[must_use]
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens: Vec<Token<'_>> = tokens(statement).collect();
    // `names_tables`: the current token is in a list of tables. `elsewhere`: the first group that
    // a name outside such a list gives.
    let (mut names_tables, mut elsewhere, mut at) = (false, None, 0);
    while let Some(&token) = tokens.get(at) {
        at += 1;
        let Token::Word(word) = token else {
            // A comma or a parenthesis continues a list of tables; anything else ends it.
            names_tables = names_tables && matches!(token, Token::Other(b',' | b'('));
            continue;
        };
        if precedes_table_names(word) {
            names_tables = true;
            continue;
        }
        let qualified = qualified_name(word, tokens.get(at..).unwrap_or_default());
        at += qualified.tokens_used;
        let group = qualified.schema.and_then(schema_group);
        if names_tables && group.is_some() {
            return group;
        }
        elsewhere = elsewhere.or(group);
        // The word may be a table's alias, after which the list continues with a comma.
        names_tables = names_tables && !begins_clause(qualified.schema.unwrap_or(word));
    }
    elsewhere
}

/// A name with its qualifiers, such as `database.schema.table`.
struct QualifiedName<'a> {
    /// The last qualifier, such as `schema` in `database.schema.table`. `None` if there is none.
    schema: Option<&'a [u8]>,
    /// Number of tokens after the first word that belong to the name.
    tokens_used: usize,
}

fn qualified_name<'a>(first: &'a [u8], mut rest: &[Token<'a>]) -> QualifiedName<'a> {
    let mut name = QualifiedName {
        schema: None,
        tokens_used: 0,
    };
    let mut last = first;
    while let [Token::Other(b'.'), Token::Word(next), tail @ ..] = rest {
        name.schema = Some(last);
        name.tokens_used += 2;
        last = next;
        rest = tail;
    }
    name
}

fn precedes_table_names(word: &[u8]) -> bool {
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
    .any(|keyword| word.eq_ignore_ascii_case(keyword))
}

fn begins_clause(word: &[u8]) -> bool {
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
    .any(|keyword| word.eq_ignore_ascii_case(keyword))
}

fn schema_group(schema: &[u8]) -> Option<u64> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let digits = schema.get(memchr::memrchr(b'_', schema)? + 1..)?;
    std::str::from_utf8(digits)
        .ok()
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()))?
        .parse()
        .ok()
}

#[cfg(test)]
mod tests;
