import re

import pytest

from bulrushloom.rules.keys import find_key, new_key
from bulrushloom.rules.parser import parse_rules
from tests.rules.builders import RULES_TEXT, with_line


def test_new_keys_differ_and_are_found_by_their_digest():
    first, second = new_key(), new_key()
    assert first.key != second.key
    assert len(first.key) >= 43, "256 bits need 43 characters"
    assert re.fullmatch("sha256:[0-9a-f]{64}", first.digest)
    rules = parse_rules(with_line(f"key dispatch {first.digest} # m: x"), 1)
    assert find_key(rules, first.key).account == "dispatch"
    assert find_key(rules, second.key) is None


@pytest.mark.parametrize("presented", ["", "x" * 10_000, "\ud800", "sha256:"])
def test_malformed_key_is_unknown(presented):
    assert find_key(parse_rules(RULES_TEXT, 1), presented) is None
