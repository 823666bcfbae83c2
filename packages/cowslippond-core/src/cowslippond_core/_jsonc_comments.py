"""Find and blank out comments in JSON."""

import re

# Maximum length of a text, in characters.
MAX_TEXT_CHARS = 65_536

# Control characters could change the state of a reader's terminal.
CONTROL_CHARACTER = re.compile(r'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f-\x9f]')

LEXEME = re.compile(
    r"""
    (?P<string>"(?:[^"\\\n]|\\[^\n])*+"?)
    |(?P<quoted>'(?:[^'\\\n]|\\[^\n])*+'?)
    |(?P<comment>//[^\n]*|/\*.*?\*/)
    |(?P<unclosed>/\*)
    """,
    re.DOTALL | re.VERBOSE,
)
_NOT_NEWLINE = re.compile(r'[^\n]')


def blank_comments(text: str) -> str | None:
    """Replace comments with spaces, keeping all positions and newlines.

    :returns: ``None`` if a comment or a string is not closed.
    """
    if any(is_unclosed(lexeme) for lexeme in LEXEME.finditer(text)):
        return None
    return LEXEME.sub(_blank_comment, text)


def _blank_comment(lexeme: re.Match[str]) -> str:
    if lexeme.lastgroup == 'comment':
        return _NOT_NEWLINE.sub(' ', lexeme.group())
    return lexeme.group()


def is_unclosed(lexeme: re.Match[str]) -> bool:
    """Return whether a comment or a string is not closed."""
    if lexeme.lastgroup == 'unclosed':
        return True
    if lexeme.lastgroup == 'comment':
        return False
    quoted_text = lexeme.group()
    return len(quoted_text) == 1 or quoted_text[0] != quoted_text[-1]
