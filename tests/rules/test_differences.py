from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.rules.differences import diff_rules
from tests.rules.builders import DIGEST, RULES_TEXT


def test_changes_are_listed_by_rule():
    changed = RULES_TEXT.replace("rate=200", "rate=300").replace(
        "leaving orders-1a                             # ops: server retires\n",
        f"withdraw {DIGEST} # maya: laptop stolen\n",
    )
    assert diff_rules(RULES_TEXT, changed) == [
        "removed leaving orders-1a",
        "changed account hotel-orders: rate 200 -> 300",
        f"added withdraw {DIGEST}  # maya: laptop stolen",
    ]


def test_new_account_or_comment_is_a_change():
    moved = RULES_TEXT.replace("key hotel-orders", "key dispatch")
    assert diff_rules(RULES_TEXT, moved) == [
        f"changed key {DIGEST}: account hotel-orders -> dispatch"
    ]
    renamed = RULES_TEXT.replace("maya: truck booking", "ana: trucks")
    assert diff_rules(RULES_TEXT, renamed) == [
        "changed account dispatch: comment is now 'ana: trucks'"
    ]


@settings(derandomize=True, deadline=None)
@given(st.text(), st.text())
def test_any_two_texts_can_be_compared(old, new):
    diff_rules(old, new)
    assert diff_rules(old, old) == []
