"""Tests that the pages contain the current tables of fields."""

import pathlib

import pytest
from cowslippond_core._document_fields import DOCUMENT_SPEC
from cowslippond_core._field_rows import markdown_rows
from cowslippond_core._field_specs import ObjectSpec
from cowslippond_core._settings_fields import PLATFORM_SPEC, SETTINGS_SPEC

ROOT = pathlib.Path(__file__).parents[2]


@pytest.mark.parametrize(
    ('page', 'spec'),
    [
        ('SERVICE-DOCUMENT.md', DOCUMENT_SPEC),
        ('OPERATIONS.md', SETTINGS_SPEC),
        ('OPERATIONS.md', PLATFORM_SPEC),
    ],
)
def test_page_contains_the_table_of_fields(page: str, spec: ObjectSpec) -> None:
    """Print the current table with ``cowslippondctl fields --markdown``."""
    table = '\n'.join(markdown_rows(spec))
    assert f'\n\n{table}\n\n' in (ROOT / 'docs' / page).read_text()


def test_page_contains_the_example_unchanged() -> None:
    example = ROOT / 'examples' / 'museum-shop' / 'checkout.jsonc'
    page = (ROOT / 'docs' / 'SERVICE-DOCUMENT.md').read_text()
    assert example.read_text() in page
