"""Tests of the error registry."""

from pathlib import Path

import pytest

from pistachiowell.core.errors import PistachiowellError, error_class
from pistachiowell.schema.generated.errors import ErrorCode

PACKAGE = Path(__file__).parents[2]


@pytest.mark.parametrize("code", list(ErrorCode))
def test_every_code_has_a_class_with_a_remedy(code):
    cls = error_class(code)
    assert cls is not PistachiowellError
    assert cls.code == code
    assert cls.remedy in str(cls("Something was found."))


@pytest.mark.parametrize("code", list(ErrorCode))
def test_every_code_is_named_by_a_test_of_what_raises_it(code):
    name = error_class(code).__name__
    tests = list(PACKAGE.glob("**/tests/test_*.py"))
    texts = [path.read_text(encoding="utf-8") for path in tests]
    assert any(f'"{code}"' in text or name in text for text in texts)
